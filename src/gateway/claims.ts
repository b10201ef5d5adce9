import type { Result } from 'ts-results';

import type { Failure } from '../common/index.js';
import type { CommandAnswer } from '../control/state/index.js';
import type { AccountName, RequestId } from '../model/index.js';

/** Request to claim a caller's idempotency key. */
export interface ClaimRequest {
  readonly account: AccountName;
  readonly key: string;
  /** Digest of method, path and body. */
  readonly fingerprint: string;
  readonly requestId: RequestId;
}

/** Outcome of the request that holds a key; `notRun` releases the key. */
export type ClaimOutcome = 'notRun' | 'ran' | 'unknown';

/** Reports the outcome of the request that holds a key. */
export interface ClaimSettlement {
  readonly account: AccountName;
  readonly key: string;
  readonly requestId: RequestId;
  readonly outcome: ClaimOutcome;
}

/**
 * Claims of idempotency keys in the replicated log.
 * An `Err` means that the log did not answer (no quorum, or an uncertain commit); the command may still be committed.
 */
export interface ClaimClient {
  readonly claim: (request: ClaimRequest) => Promise<Result<CommandAnswer, Failure>>;
  readonly settle: (settlement: ClaimSettlement) => Promise<Result<CommandAnswer, Failure>>;
}
