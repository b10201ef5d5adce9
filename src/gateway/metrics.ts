import type { Milliseconds } from '../common/index.js';

/** Tags of a metric; keep their number and cardinality low. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sink for counters, timings and gauges. */
export interface Metrics {
  readonly increment: (name: string, tags?: MetricTags) => void;
  readonly timing: (name: string, duration: Milliseconds, tags?: MetricTags) => void;
  readonly gauge: (name: string, value: number, tags?: MetricTags) => void;
}

/** Discards all metrics; for tests and benchmarks. */
export const noMetrics: Metrics = {
  increment: () => undefined,
  timing: () => undefined,
  gauge: () => undefined,
};
