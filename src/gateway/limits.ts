import type { Milliseconds } from '../common/index.js';

/** Times and bounds of one request. */
export interface RequestLimits {
  /** Silence after which a connection is taken for lost: a few keep-alives of the sidecar. */
  readonly silence: Milliseconds;
  /** How long an attempt is asked after before its outcome is called unknown. */
  readonly askLimit: Milliseconds;
  /** Pause between two questions. */
  readonly askInterval: Milliseconds;
  /** How long a claim may take before the answer is "not run". */
  readonly claimLimit: Milliseconds;
  /** Attempts for one request, the first included. */
  readonly maximumAttempts: number;
  /** Resumes of one attempt that may bring no new byte in a row. */
  readonly maximumResumes: number;
  /** First pause while a newer configuration or placement is awaited; doubles with each attempt. */
  readonly firstPause: Milliseconds;
  readonly maximumAnswerBytes: number;
}

/** Silence is four keep-alives of a sidecar. */
export const defaultRequestLimits: RequestLimits = {
  silence: 1000,
  askLimit: 5000,
  askInterval: 200,
  claimLimit: 1500,
  maximumAttempts: 5,
  maximumResumes: 8,
  firstPause: 50,
  maximumAnswerBytes: 8 * 1024 * 1024,
};
