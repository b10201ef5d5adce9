import type { Metrics, ResultCodeName } from '../../common/index.js';
import type { GroupHealth, GroupName } from '../../model/index.js';

/** Metrics of a sidecar; docs/METRICS.md lists the names. */

/** Result of an order to the engine. */
export type OrderOutcome = 'accepted' | 'fenced' | 'failed';

export class SidecarMetrics {
  readonly #metrics: Metrics;
  /** Groups led here that were serving at the last update. */
  #previouslyServing: ReadonlySet<GroupName> = new Set();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Counts an attempt that was passed to the upstream (`ok`) or refused. */
  recordAttempt(result: ResultCodeName): void {
    this.#metrics.increment('sidecar.attempts', { result });
  }

  recordOrder(order: string, outcome: OrderOutcome): void {
    this.#metrics.increment('sidecar.orders', { order, outcome });
  }

  /** Updates the gauges of the groups led here. A group that was serving and now lacks a member has lost a lease. */
  updateGroups(groups: readonly GroupHealth[]): void {
    const serving = new Set(groups.filter(({ isServing }) => isServing).map(({ group }) => group));
    for (const { group, missing } of groups) {
      if (this.#previouslyServing.has(group) && !serving.has(group) && missing.length > 0) {
        this.#metrics.increment('sidecar.lease_losses');
      }
    }
    this.#previouslyServing = serving;
    this.#metrics.gauge('sidecar.groups_led', groups.length);
    this.#metrics.gauge('sidecar.groups_serving', serving.size);
  }
}
