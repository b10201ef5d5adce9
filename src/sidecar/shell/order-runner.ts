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
  describePlacement,
  OrderController,
  type EngineOrder,
  type OrderEffect,
  type OrderEvent,
} from '../orders/index.js';
import type { UpstreamState } from '../upstream/index.js';
import type { OrderOutcome } from './sidecar-metrics.js';

/** Carries the orders of an `OrderController` to the engine beside the sidecar; docs/UPSTREAMS.md describes them. */

const conflictStatus = 409;

/** Options of the runner. */
export interface OrderRunnerOptions {
  readonly host: HostName;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Told of each order that was sent and how it came out. */
  readonly onOutcome: (order: EngineOrder['action']['type'], outcome: OrderOutcome) => void;
  readonly onReadiness: (group: GroupName, fencingNumber: FencingNumber, isReady: boolean) => void;
}

/** What the orders depend on at one moment. */
export interface OrderSituation {
  /** Placements that this host is a member of. */
  readonly placements: readonly Group[];
  readonly upstream: UpstreamState;
  /** The placement whose lead may count on this host. */
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

  /** False while the engine fails its orders again and again. */
  get isFit(): boolean {
    return this.#isFit;
  }

  /** Takes the situation of this moment; called often enough to stand for timers too. */
  update({ placements, upstream, holder }: OrderSituation): void {
    const now = this.#options.clock.monotonic();
    const engine =
      upstream.type === 'present' && upstream.upstream.type === 'engine'
        ? upstream.upstream
        : undefined;
    this.#address = upstream.type === 'present' ? upstream.address : undefined;
    const newest = findNewest(placements);
    const placement =
      newest === undefined ? undefined : describePlacement(newest, this.#options.host);
    this.#handle({ type: 'holderChanged', now, holder });
    this.#handle({ type: 'engineChanged', now, engine });
    this.#handle({ type: 'placementChanged', now, placement });
    this.#handle({ type: 'ticked', now });
  }

  #handle(event: OrderEvent): void {
    for (const effect of this.#controller.handle(event)) {
      this.#carryOut(effect);
    }
  }

  #carryOut(effect: OrderEffect): void {
    switch (effect.type) {
      case 'send':
        void this.#send(effect.order);
        return;
      case 'readinessChanged':
        this.#options.onReadiness(effect.group, effect.fencingNumber, effect.isReady);
        return;
      case 'fitnessChanged':
        this.#isFit = effect.isFit;
        this.#options.logger.warn({ isFit: effect.isFit }, 'fitness of the engine changed');
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
    logger.info({ order: action.type, fencingNumber, outcome }, 'order sent');
    this.#options.onOutcome(action.type, outcome);
    const now: Milliseconds = this.#options.clock.monotonic();
    this.#handle({ type: 'orderAnswered', now, sequence, outcome });
  }

  async #deliver(order: EngineOrder): Promise<OrderOutcome> {
    const { sequence, fencingNumber, action } = order;
    // The last look before the bytes leave: an engine that ignores fencing numbers carries out whatever comes.
    if (this.#address === undefined || !this.#controller.isCurrent(order)) {
      return 'failed';
    }
    try {
      const response = await request(`http://${this.#address}/orders`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ ...action, fencingNumber, sequence }),
        headersTimeout: defaultOrderOptions.answerTimeout,
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
