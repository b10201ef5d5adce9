import type { Result } from 'ts-results';

import type { Failure } from '../common/index.js';
import type { CommandAnswer } from '../control/state/index.js';
import type { AccountName, RequestId } from '../model/index.js';

/** Asks for a caller's idempotency key. */
export interface ClaimQuestion {
  readonly account: AccountName;
  readonly key: string;
  /** Digest of method, path and body. */
  readonly fingerprint: string;
  readonly requestId: RequestId;
}

/** How the request that holds a key came out; `notRun` frees the key. */
export type ClaimOutcome = 'notRun' | 'ran' | 'unknown';

/** Says how the request that holds a key came out. */
export interface ClaimSettlement {
  readonly account: AccountName;
  readonly key: string;
  readonly requestId: RequestId;
  readonly outcome: ClaimOutcome;
}

/**
 * Claims of idempotency keys in the replicated log.
 * An `Err` means that no answer came from the log (no quorum, or uncertain); the command may still be committed later.
 */
export interface ClaimClient {
  readonly claim: (question: ClaimQuestion) => Promise<Result<CommandAnswer, Failure>>;
  readonly settle: (settlement: ClaimSettlement) => Promise<Result<CommandAnswer, Failure>>;
}
