import type { Metrics } from '../../common/index.js';
import type { LeadershipView } from '../../consensus/index.js';
import type { ReportVerdict } from '../host-directory.js';

/** What a control host counts; docs/METRICS.md lists the names. */
export class ControlMetrics {
  readonly #metrics: Metrics;

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  noteLeadership({ type }: LeadershipView): void {
    this.#metrics.increment('control.leadership_changes', { role: type });
  }

  /** A command of the log was applied here. */
  noteCommit(): void {
    this.#metrics.increment('control.commits');
  }

  notePlacement(isCommitted: boolean): void {
    const result = isCommitted ? 'committed' : 'failed';
    this.#metrics.increment('control.placements', { result });
  }

  noteReport(verdict: ReportVerdict): void {
    this.#metrics.increment('control.reports', { verdict });
  }

  noteWatchers(gateways: number, sidecars: number): void {
    this.#metrics.gauge('control.watchers', gateways, { kind: 'gateway' });
    this.#metrics.gauge('control.watchers', sidecars, { kind: 'sidecar' });
  }
}
