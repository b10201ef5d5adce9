import type { Metrics, ResultCodeName } from '../../common/index.js';
import type { GroupHealth, GroupName } from '../../model/index.js';

/** What a sidecar counts; docs/METRICS.md lists the names. */

/** How an order to the engine came out. */
export type OrderOutcome = 'accepted' | 'fenced' | 'failed';

export class SidecarMetrics {
  readonly #metrics: Metrics;
  /** Groups led here that served when last looked at. */
  #serving: ReadonlySet<GroupName> = new Set();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** An attempt was handed to the upstream (`ok`) or refused. */
  noteAttempt(result: ResultCodeName): void {
    this.#metrics.increment('sidecar.attempts', { result });
  }

  noteOrder(order: string, outcome: OrderOutcome): void {
    this.#metrics.increment('sidecar.orders', { order, outcome });
  }

  /** Looks at the groups led here; one that served and now misses a member has lost a lease. */
  noteGroups(groups: readonly GroupHealth[]): void {
    const serving = new Set(groups.filter(({ isServing }) => isServing).map(({ group }) => group));
    for (const { group, missing } of groups) {
      if (this.#serving.has(group) && !serving.has(group) && missing.length > 0) {
        this.#metrics.increment('sidecar.lease_losses');
      }
    }
    this.#serving = serving;
    this.#metrics.gauge('sidecar.groups_led', groups.length);
    this.#metrics.gauge('sidecar.groups_serving', serving.size);
  }
}
