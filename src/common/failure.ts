import { resultCodes, type ResultCode, type ResultCodeName } from './result-codes/index.js';

/** A failure as it travels through the system: a numbered code and what is particular to this case. */
export interface Failure {
  readonly code: ResultCodeName;
  /** What happened here, for a person: names, values, places. */
  readonly detail: string;
  /** When to come back, where that is known. */
  readonly retryAfterMilliseconds?: number;
}

/** Makes a failure. */
export function createFailure(
  code: ResultCodeName,
  detail: string,
  retryAfterMilliseconds?: number,
): Failure {
  if (retryAfterMilliseconds === undefined) {
    return { code, detail };
  }
  return { code, detail, retryAfterMilliseconds };
}

/** The row of the table for a failure. */
export function findResultCode(failure: Failure): ResultCode {
  return resultCodes[failure.code];
}

/** One line for logs and terminals. */
export function formatFailure(failure: Failure): string {
  const { number, message } = findResultCode(failure);
  return `${failure.code} (${number}): ${message} ${failure.detail}`.trimEnd();
}

/** Carries a failure through code that throws; only shells throw and catch it. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(formatFailure(failure));
    this.name = 'FailureError';
    this.failure = failure;
  }
}

/** What an answer between processes says of an outcome; code 0 and no text for one that went well. */
export function encodeOutcome(failure: Failure | undefined): {
  readonly resultCode: number;
  readonly message: string;
} {
  return {
    resultCode: resultCodes[failure?.code ?? 'ok'].number,
    message: failure?.detail ?? '',
  };
}
