import type { Logger } from 'pino';
import { Counter, Gauge, type Registry } from 'prom-client';
import { Err, Ok, type Result } from 'ts-results';

import { createFailure, type Clock, type Failure } from '../../common/index.js';
import type { CommandSubmitter } from '../shell/command-submitter.js';
import {
  assessEvacuationOrder,
  stampEvacuationOrder,
  type CommandAnswer,
  type ControlState,
  type EvacuationAction,
  type EvacuationOrder,
} from '../state/index.js';

/** Takes operators' orders to start and end evacuations on any control host. */

export interface EvacuationControlOptions {
  readonly submitter: Pick<CommandSubmitter, 'submit'>;
  readonly readState: () => ControlState;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: Registry;
  /** All failure domains of the deployment; undefined where there are no evacuations. */
  readonly failureDomains: readonly string[] | undefined;
}

export class EvacuationControl {
  readonly #options: EvacuationControlOptions;
  readonly #orders: Counter<'action' | 'result'>;

  constructor(options: EvacuationControlOptions) {
    this.#options = options;
    const registers = [options.registry];
    this.#orders = new Counter({
      name: 'pistachiospoke_evacuation_orders_total',
      help: 'Orders to start or end an evacuation that this host received, by result code.',
      labelNames: ['action', 'result'],
      registers,
    });
    const inForce = new Gauge({
      name: 'pistachiospoke_evacuations',
      help: 'Evacuations of failure domains in force, as this host knows them.',
      registers,
      collect: () => {
        inForce.set(options.readState().routing.evacuations.size);
      },
    });
  }

  get isConfigured(): boolean {
    return this.#options.failureDomains !== undefined;
  }

  /** Resolves once the order is committed; the value is false if nothing was left to change. */
  async set(failureDomain: string, action: EvacuationAction): Promise<Result<boolean, Failure>> {
    const { logger } = this.#options;
    const fields = { failureDomain, action };
    logger.info(fields, 'evacuation order received');
    const result = await this.#submit(failureDomain, action);
    this.#orders.inc({ action, result: result.ok ? 'ok' : result.val.code });
    if (result.ok) {
      logger.info({ ...fields, isChanged: result.val }, 'evacuation order committed');
    } else {
      logger.warn({ ...fields, failure: result.val }, 'evacuation order refused');
    }
    return result;
  }

  async #submit(
    failureDomain: string,
    action: EvacuationAction,
  ): Promise<Result<boolean, Failure>> {
    const { submitter, readState, clock, failureDomains } = this.#options;
    if (failureDomains === undefined) {
      return new Err(createFailure('evacuationsUnavailable', ''));
    }
    if (!failureDomains.includes(failureDomain)) {
      return new Err(createFailure('unknownFailureDomain', failureDomain));
    }
    const { routing } = readState();
    const stamp = stampEvacuationOrder(routing, { failureDomain, action });
    const order: EvacuationOrder = { failureDomain, action, stamp };
    // Checked here too: forwarded late, a duplicate would reach the leader after the interval.
    const verdict = assessEvacuationOrder(routing, order, clock.wall());
    if (verdict.type === 'early') {
      return new Err(createFailure('evacuationTooSoon', failureDomain, verdict.retryAfter));
    }
    // A repeated order is committed too, because the state of this host may be older than the newest.
    return decodeAnswer(await submitter.submit({ type: 'setEvacuation', at: 0, ...order }));
  }
}

function decodeAnswer(result: Result<CommandAnswer, Failure>): Result<boolean, Failure> {
  if (result.err) {
    return result;
  }
  const answer = result.val;
  if (answer.type === 'refused') {
    return new Err(answer.failure);
  }
  return answer.type === 'evacuationSet'
    ? new Ok(answer.isChanged)
    : new Err(createFailure('internal', `unexpected answer ${answer.type}`));
}
