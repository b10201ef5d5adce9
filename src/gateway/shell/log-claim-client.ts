import type { Result } from 'ts-results';

import type { Failure } from '../../common/index.js';
import type { ControlClient } from '../../control/index.js';
import type { CommandAnswer } from '../../control/state/index.js';
import type { ClaimClient, ClaimQuestion, ClaimSettlement } from '../claims.js';

/** Claims keys in the replicated log; a claim is idempotent by its request id, so it may be sent to several control hosts. */
export class LogClaimClient implements ClaimClient {
  readonly #control: ControlClient;

  constructor(control: ControlClient) {
    this.#control = control;
  }

  readonly claim = (question: ClaimQuestion): Promise<Result<CommandAnswer, Failure>> =>
    // The leader stamps the time.
    this.#control.submit({ type: 'claimKey', at: 0, ...question });

  readonly settle = (settlement: ClaimSettlement): Promise<Result<CommandAnswer, Failure>> =>
    this.#control.submit({ type: 'settleClaim', at: 0, ...settlement });
}
