/** Type of the entries in the result code table. */

/**
 * What a code says about the execution of the caller's request.
 * `notRun`: it did not run, and it is safe to retry. `unknown`: it may have run. `ran`: it ran and was answered.
 * `notApplicable`: the code is not about a caller's request.
 */
export type ExecutionOutcome = 'notRun' | 'unknown' | 'ran' | 'notApplicable';

/** One entry of the result code table. */
export interface ResultCode {
  readonly number: number;
  readonly httpStatus: number;
  readonly outcome: ExecutionOutcome;
  /** Whether the same request may succeed later. */
  readonly retryable: boolean;
  /** Human-readable description of what happened. */
  readonly message: string;
  /** Human-readable advice on what to do about it. */
  readonly advice: string;
}

export function createResultCode(
  number: number,
  httpStatus: number,
  outcome: ExecutionOutcome,
  retryable: boolean,
  message: string,
  advice: string,
): ResultCode {
  return { number, httpStatus, outcome, retryable, message, advice };
}
