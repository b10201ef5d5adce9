import type { Logger } from 'pino';

import type { Milliseconds, ResultCodeName } from '../../common/index.js';
import type { ClaimClient, ClaimOutcome } from '../claims.js';
import type { RequestFacts } from '../messages.js';

/** Result of claiming a key; `ok` when it was claimed. */
export interface ClaimResult {
  readonly code: ResultCodeName;
  readonly retryAfter: Milliseconds | undefined;
}

const settleAttempts = 5;
const initialSettleBackoff: Milliseconds = 200;

/** The idempotency key of one request, claimed before anything runs and settled with the outcome of the request. */
export class ClaimedKey {
  readonly #facts: RequestFacts;
  readonly #claims: ClaimClient;
  readonly #logger: Logger;

  constructor(facts: RequestFacts, claims: ClaimClient, logger: Logger) {
    this.#facts = facts;
    this.#claims = claims;
    this.#logger = logger;
  }

  /** Claims the key; succeeds at once for a request without a key. */
  async claim(): Promise<ClaimResult> {
    const { claim, account, id } = this.#facts;
    if (claim === undefined) {
      return { code: 'ok', retryAfter: undefined };
    }
    const result = await this.#claims.claim({ account, ...claim, requestId: id });
    if (result.err) {
      return { code: 'claimUnavailable', retryAfter: result.val.retryAfterMilliseconds };
    }
    const answer = result.val;
    const code = answer.type === 'refused' ? answer.failure.code : 'ok';
    return { code, retryAfter: undefined };
  }

  /** Records the outcome in the replicated log; a key that is not settled stays claimed until it expires. */
  async settle(outcome: ClaimOutcome): Promise<void> {
    const { claim, account, id } = this.#facts;
    if (claim === undefined) {
      return;
    }
    const settlement = { account, key: claim.key, requestId: id, outcome };
    for (let attempt = 0; attempt < settleAttempts; attempt += 1) {
      const result = await this.#claims.settle(settlement);
      if (result.ok) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, initialSettleBackoff * 2 ** attempt));
    }
    this.#logger.warn({ requestId: id, outcome }, 'claim could not be settled');
  }
}
