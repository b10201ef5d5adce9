import type { Clock } from '../../common/index.js';
import type { Delivery } from './delivery.js';
import type { WaitingRequests } from './waiting-requests.js';

/** The deliveries of a gateway that have not ended, and the order in which those that wait ask for upstreams. */

export interface ActiveDeliveriesOptions {
  /** Undefined if waiting requests are served newest first. */
  readonly waiting: WaitingRequests | undefined;
  readonly clock: Clock;
}

export class ActiveDeliveries implements Iterable<Delivery> {
  readonly #options: ActiveDeliveriesOptions;
  readonly #deliveries = new Set<Delivery>();

  constructor(options: ActiveDeliveriesOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#deliveries.size;
  }

  [Symbol.iterator](): Iterator<Delivery> {
    return this.#deliveries.values();
  }

  add(delivery: Delivery): void {
    this.#deliveries.add(delivery);
  }

  /** A slot has become free with it, so a waiting request may be sent at once. */
  remove(delivery: Delivery): void {
    this.#deliveries.delete(delivery);
    this.retryWaiting();
  }

  /** Groups or instances changed. */
  noteTargetsChanged(): void {
    this.#collectWaiting(() => {
      for (const delivery of this.#deliveries) {
        delivery.noteTargetsChanged();
      }
    });
  }

  /** Quarantines have come into force. */
  noteQuarantined(): void {
    for (const delivery of [...this.#deliveries]) {
      delivery.noteQuarantined();
    }
  }

  /** The process is about to end: ends all of them with a failure. Those that wait come first, as they would take the slots of the others. */
  stop(): void {
    const all = [...this.#deliveries];
    const waiting = all.filter(({ isWaiting }) => isWaiting);
    for (const delivery of new Set([...waiting, ...all])) {
      delivery.stop();
    }
  }

  /** Withdraws the attempts that wait for a connection to an upstream that gets no more requests; returns their number. */
  withdrawUnsent(): number {
    return [...this.#deliveries].filter((delivery) => delivery.noteUpstreamUnavailable()).length;
  }

  /**
   * Without queues, starts with the newest request: it can still meet its objective, and those that have waited long are late in any case.
   */
  retryWaiting(): void {
    this.#collectWaiting(() => {
      const waiting = [...this.#deliveries].filter(({ isWaiting, isQueued }) => {
        return isWaiting && !isQueued;
      });
      for (const delivery of waiting.reverse()) {
        delivery.noteTargetsChanged();
      }
    });
  }

  /** Runs an action in which requests ask for upstreams; with queues, they are served by rank afterwards. */
  #collectWaiting(action: () => void): void {
    const { waiting, clock } = this.#options;
    if (waiting === undefined) {
      action();
    } else {
      waiting.collect(action, clock.monotonic());
    }
  }
}
