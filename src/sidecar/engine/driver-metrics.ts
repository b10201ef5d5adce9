import { Counter, Histogram, type Registry } from 'prom-client';

import type { Milliseconds } from '../../common/index.js';
import type { EngineOrder, OrderOutcome } from './engine-port.js';

/** Metrics of the sidecar's local engine; docs/METRICS.md lists the names. */

const millisecondsPerSecond = 1000;
/** In seconds. An order is either answered within milliseconds or times out. */
const orderDurationBuckets = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5];

export class DriverMetrics {
  readonly #orders: Counter<'order' | 'outcome'>;
  readonly #orderDuration: Histogram<'order'>;
  readonly #instances: Counter;
  readonly #unanswered: Counter;
  readonly #unreadable: Counter;

  constructor(registry: Registry) {
    const registers = [registry];
    this.#orders = new Counter({
      name: 'pistachiospoke_engine_orders_total',
      help: 'Orders to the engine beside this sidecar, by kind and by what became of them.',
      labelNames: ['order', 'outcome'],
      registers,
    });
    this.#orderDuration = new Histogram({
      name: 'pistachiospoke_engine_order_seconds',
      help: 'Time until an order was answered or given up.',
      labelNames: ['order'],
      buckets: orderDurationBuckets,
      registers,
    });
    this.#instances = new Counter({
      name: 'pistachiospoke_engine_instances_total',
      help: 'Instances of the engine that this sidecar has met.',
      registers,
    });
    this.#unanswered = new Counter({
      name: 'pistachiospoke_engine_silences_total',
      help: 'Times that the engine stopped answering.',
      registers,
    });
    this.#unreadable = new Counter({
      name: 'pistachiospoke_engine_unreadable_answers_total',
      help: 'Answers of the engine that could not be read.',
      registers,
    });
  }

  recordOrder({ type }: EngineOrder, outcome: OrderOutcome, took: Milliseconds): void {
    this.#orders.inc({ order: type, outcome });
    this.#orderDuration.observe({ order: type }, took / millisecondsPerSecond);
  }

  recordUnreadableAnswer(): void {
    this.#unreadable.inc();
  }

  /** Called when another instance responds, or with undefined when none responds any more. */
  recordInstanceChange(instance: string | undefined): void {
    if (instance === undefined) {
      this.#unanswered.inc();
    } else {
      this.#instances.inc();
    }
  }
}
