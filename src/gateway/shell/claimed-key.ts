import type { Logger } from 'pino';

import type { Milliseconds, ResultCodeName } from '../../common/index.js';
import type { ClaimClient, ClaimOutcome } from '../claims.js';
import type { RequestFacts } from '../messages.js';

/** What came of asking for a key; `ok` when it is ours. */
export interface ClaimVerdict {
  readonly code: ResultCodeName;
  readonly retryAfter: Milliseconds | undefined;
}

const settleAttempts = 5;
const firstSettlePause: Milliseconds = 200;

/** The idempotency key of one request, claimed before anything runs and settled with how the request came out. */
export class ClaimedKey {
  readonly #facts: RequestFacts;
  readonly #claims: ClaimClient;
  readonly #logger: Logger;

  constructor(facts: RequestFacts, claims: ClaimClient, logger: Logger) {
    this.#facts = facts;
    this.#claims = claims;
    this.#logger = logger;
  }

  /** A request without a key has nothing to ask for. */
  async claim(): Promise<ClaimVerdict> {
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

  /** Tells the log how the request came out; a key that is not settled stays claimed until it expires. */
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
      await new Promise((resolve) => setTimeout(resolve, firstSettlePause * 2 ** attempt));
    }
    this.#logger.warn({ requestId: id, outcome }, 'claim could not be settled');
  }
}
