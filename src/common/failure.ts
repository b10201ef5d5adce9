import { resultCodes, type ResultCode, type ResultCodeName } from './result-codes/index.js';

/** A failure as it is passed through the system: a result code and the details of this case. */
export interface Failure {
  readonly code: ResultCodeName;
  /** Human-readable details of this case, such as names, values and locations. */
  readonly detail: string;
  /** Delay after which to retry, if known. */
  readonly retryAfterMilliseconds?: number;
}

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

/** Looks up the result code of a failure. */
export function findResultCode(failure: Failure): ResultCode {
  return resultCodes[failure.code];
}

/** Formats a failure as one line for logs and terminals. */
export function formatFailure(failure: Failure): string {
  const { number, message } = findResultCode(failure);
  return `${failure.code} (${number}): ${message} ${failure.detail}`.trimEnd();
}

/** Wraps a failure as an exception. Only the I/O shells throw and catch it. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(formatFailure(failure));
    this.name = 'FailureError';
    this.failure = failure;
  }
}

/** Encodes an outcome for a response between processes; success is code 0 with an empty message. */
export function encodeOutcome(failure: Failure | undefined): {
  readonly resultCode: number;
  readonly message: string;
} {
  return {
    resultCode: resultCodes[failure?.code ?? 'ok'].number,
    message: failure?.detail ?? '',
  };
}
