import type { Milliseconds } from '../common/index.js';

/** Timeouts and limits of one request. */
export interface RequestLimits {
  /** Silence after which a connection counts as lost: several keep-alive intervals of the sidecar. */
  readonly silenceTimeout: Milliseconds;
  /** How long the state of an attempt is queried before its outcome is reported as unknown. */
  readonly askTimeout: Milliseconds;
  /** Pause after a failed query. */
  readonly askInterval: Milliseconds;
  /** How long a claim may take before the request is answered with "not run". */
  readonly claimTimeout: Milliseconds;
  /** Attempts per request, including the first. */
  readonly maximumAttempts: number;
  /** Consecutive resumes of one attempt that may yield no new byte. */
  readonly maximumResumes: number;
  /** First pause while waiting for a newer configuration or placement; doubles with each attempt. */
  readonly initialBackoff: Milliseconds;
  /** How long a request is held until control has recorded a crash of an upstream that ran it; a record takes about 0.1 s. */
  readonly crashRecordTimeout: Milliseconds;
  readonly maximumAnswerBytes: number;
}

/** The silence timeout is four keep-alive intervals of a sidecar. */
export const defaultRequestLimits: RequestLimits = {
  silenceTimeout: 1000,
  askTimeout: 5000,
  askInterval: 200,
  claimTimeout: 1500,
  maximumAttempts: 5,
  maximumResumes: 8,
  initialBackoff: 50,
  crashRecordTimeout: 1800,
  maximumAnswerBytes: 8 * 1024 * 1024,
};
