/** The rows of the table of result codes. */

/**
 * What a code says about the request it answers.
 * `notRun`: it did not run, sending it again is safe. `unknown`: it may have run. `ran`: it ran and was answered.
 * `notApplicable`: the code is not about a caller's request.
 */
export type ExecutionOutcome = 'notRun' | 'unknown' | 'ran' | 'notApplicable';

/** One row of the table. */
export interface ResultCode {
  readonly number: number;
  readonly httpStatus: number;
  readonly outcome: ExecutionOutcome;
  /** Whether the same request may succeed later. */
  readonly retryable: boolean;
  /** What happened, for a person. */
  readonly message: string;
  /** What to do about it. */
  readonly advice: string;
}

/** Makes a row. */
export function createRow(
  number: number,
  httpStatus: number,
  outcome: ExecutionOutcome,
  retryable: boolean,
  message: string,
  advice: string,
): ResultCode {
  return { number, httpStatus, outcome, retryable, message, advice };
}
