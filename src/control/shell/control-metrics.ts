import type { Metrics } from '../../common/index.js';
import type { LeadershipView } from '../../consensus/index.js';
import type { ReportVerdict } from '../host-directory.js';

/** Metrics of a control host; docs/METRICS.md lists the names. */
export class ControlMetrics {
  readonly #metrics: Metrics;

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  recordLeadership({ type }: LeadershipView): void {
    this.#metrics.increment('control.leadership_changes', { role: type });
  }

  /** Records a log command that was applied on this host. */
  recordCommit(): void {
    this.#metrics.increment('control.commits');
  }

  recordPlacement(isCommitted: boolean): void {
    const result = isCommitted ? 'committed' : 'failed';
    this.#metrics.increment('control.placements', { result });
  }

  recordReport(verdict: ReportVerdict): void {
    this.#metrics.increment('control.reports', { verdict });
  }

  recordWatchers(gateways: number, sidecars: number): void {
    this.#metrics.gauge('control.watchers', gateways, { kind: 'gateway' });
    this.#metrics.gauge('control.watchers', sidecars, { kind: 'sidecar' });
  }
}
