import type { Result } from 'ts-results';

import type { Failure } from '../../common/index.js';
import type { ControlClient } from '../../control/index.js';
import type { CommandAnswer } from '../../control/state/index.js';
import type { ClaimClient, ClaimRequest, ClaimSettlement } from '../claims.js';

/** Claims keys in the replicated log. Claims are idempotent by request id and may be sent to several control hosts. */
export class LogClaimClient implements ClaimClient {
  readonly #control: ControlClient;

  constructor(control: ControlClient) {
    this.#control = control;
  }

  readonly claim = (request: ClaimRequest): Promise<Result<CommandAnswer, Failure>> =>
    // The leader sets the time.
    this.#control.submit({ type: 'claimKey', at: 0, ...request });

  readonly settle = (settlement: ClaimSettlement): Promise<Result<CommandAnswer, Failure>> =>
    this.#control.submit({ type: 'settleClaim', at: 0, ...settlement });
}
