import type { Milliseconds } from '../common/index.js';

/** Tags of a metric; few and with few values each. */
export type MetricTags = Readonly<Record<string, string>>;

/** Where a part of the system counts and times what it does. */
export interface Metrics {
  readonly increment: (name: string, tags?: MetricTags) => void;
  readonly timing: (name: string, duration: Milliseconds, tags?: MetricTags) => void;
  readonly gauge: (name: string, value: number, tags?: MetricTags) => void;
}

/** Metrics that go nowhere, for tests and benches. */
export const noMetrics: Metrics = {
  increment: () => undefined,
  timing: () => undefined,
  gauge: () => undefined,
};
