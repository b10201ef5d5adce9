import { request } from 'undici';
import type { Logger } from 'pino';

import {
  assertNever,
  type Clock,
  type Milliseconds,
  type RandomSource,
} from '../../common/index.js';
import type { Address, FencingNumber, Group, GroupName, HostName } from '../../model/index.js';
import {
  defaultOrderOptions,
  buildDesiredPlacement,
  OrderController,
  type EngineOrder,
  type OrderEffect,
  type OrderEvent,
} from '../orders/index.js';
import type { UpstreamState } from '../upstream/index.js';
import type { OrderOutcome } from './sidecar-metrics.js';

/** Sends the orders of an `OrderController` to the local engine; docs/UPSTREAMS.md describes them. */

const conflictStatus = 409;

/** Options of the order runner. */
export interface OrderRunnerOptions {
  readonly host: HostName;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Called with the type and result of each order. */
  readonly onOutcome: (order: EngineOrder['action']['type'], outcome: OrderOutcome) => void;
  readonly onReadinessChange: (
    group: GroupName,
    fencingNumber: FencingNumber,
    isReady: boolean,
  ) => void;
}

/** Current inputs that determine the orders. */
export interface OrderInputs {
  /** Placements that this host is a member of. */
  readonly placements: readonly Group[];
  readonly upstream: UpstreamState;
  /** The placement whose lead may hold a lease on this host. */
  readonly holder: FencingNumber | undefined;
}

export class OrderRunner {
  readonly #options: OrderRunnerOptions;
  readonly #controller: OrderController;
  #address: Address | undefined;
  #isFit = true;

  constructor(options: OrderRunnerOptions) {
    this.#options = options;
    this.#controller = new OrderController(defaultOrderOptions, options.random);
  }

  /** False after repeated order failures. */
  get isFit(): boolean {
    return this.#isFit;
  }

  /** Processes the current inputs. Called often enough that no separate timers are needed. */
  update({ placements, upstream, holder }: OrderInputs): void {
    const now = this.#options.clock.monotonic();
    const engine =
      upstream.type === 'present' && upstream.upstream.type === 'engine'
        ? upstream.upstream
        : undefined;
    this.#address = upstream.type === 'present' ? upstream.address : undefined;
    const newest = findNewest(placements);
    const placement =
      newest === undefined ? undefined : buildDesiredPlacement(newest, this.#options.host);
    this.#handle({ type: 'holderChanged', now, holder });
    this.#handle({ type: 'engineChanged', now, engine });
    this.#handle({ type: 'placementChanged', now, placement });
    this.#handle({ type: 'ticked', now });
  }

  #handle(event: OrderEvent): void {
    for (const effect of this.#controller.handle(event)) {
      this.#applyEffect(effect);
    }
  }

  #applyEffect(effect: OrderEffect): void {
    switch (effect.type) {
      case 'send':
        void this.#send(effect.order);
        return;
      case 'readinessChanged':
        this.#options.onReadinessChange(effect.group, effect.fencingNumber, effect.isReady);
        return;
      case 'fitnessChanged':
        this.#isFit = effect.isFit;
        this.#options.logger.warn({ isFit: effect.isFit }, 'engine fitness changed');
        return;
      case 'wake':
        return;
      default:
        assertNever(effect);
    }
  }

  async #send(order: EngineOrder): Promise<void> {
    const { logger } = this.#options;
    const { sequence, fencingNumber, action } = order;
    const outcome = await this.#deliver(order);
    logger.info({ order: action.type, fencingNumber, outcome }, 'order delivery finished');
    this.#options.onOutcome(action.type, outcome);
    const now: Milliseconds = this.#options.clock.monotonic();
    this.#handle({ type: 'orderAnswered', now, sequence, outcome });
  }

  async #deliver(order: EngineOrder): Promise<OrderOutcome> {
    const { sequence, fencingNumber, action } = order;
    // Final check before sending: an engine that ignores fencing numbers executes every order it receives.
    if (this.#address === undefined || !this.#controller.isCurrent(order)) {
      return 'failed';
    }
    try {
      const response = await request(`http://${this.#address}/orders`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...action, fencingNumber, sequence }),
        headersTimeout: defaultOrderOptions.answerTimeout,
        signal: AbortSignal.timeout(defaultOrderOptions.answerTimeout),
      });
      await response.body.dump();
      if (response.statusCode === conflictStatus) {
        return 'fenced';
      }
      return response.statusCode < 300 ? 'accepted' : 'failed';
    } catch (error) {
      this.#options.logger.warn({ order: action.type, error: String(error) }, 'order failed');
      return 'failed';
    }
  }
}

function findNewest(placements: readonly Group[]): Group | undefined {
  return placements.reduce<Group | undefined>(
    (newest, group) =>
      newest === undefined || group.fencingNumber > newest.fencingNumber ? group : newest,
    undefined,
  );
}
