import { StatsD } from 'hot-shots';

import type { Milliseconds } from './time.js';

/** StatsD metrics; docs/METRICS.md lists their names. */

/** Sink for metrics. Tags must be few and have a bounded set of values. */
export interface Metrics {
  readonly increment: (name: string, tags?: Readonly<Record<string, string>>) => void;
  readonly timing: (
    name: string,
    duration: Milliseconds,
    tags?: Readonly<Record<string, string>>,
  ) => void;
  readonly gauge: (name: string, value: number, tags?: Readonly<Record<string, string>>) => void;
  readonly close: () => Promise<void>;
}

/** Address of the StatsD daemon. */
export interface MetricsTarget {
  readonly host: string;
  readonly port: number;
}

const metricPrefix = 'pistachiospoke.';

/** Discards all metrics. */
const noopMetrics: Metrics = {
  increment: () => undefined,
  timing: () => undefined,
  gauge: () => undefined,
  close: () => Promise.resolve(),
};

/**
 * Sends metrics to the target over UDP, or discards them if the settings name no target.
 * Without a target no client is created: the client's mock mode keeps every metric in memory, so the process would grow until
 * it is killed.
 */
export function createMetrics(
  target: MetricsTarget | undefined,
  tags: Readonly<Record<string, string>>,
): Metrics {
  return target === undefined ? noopMetrics : createClient(target, tags);
}

function createClient(
  { host, port }: MetricsTarget,
  tags: Readonly<Record<string, string>>,
): Metrics {
  const client = new StatsD({
    prefix: metricPrefix,
    globalTags: { ...tags },
    host,
    port,
    // An unhandled socket error would end the process when the daemon is unavailable.
    errorHandler: () => undefined,
  });
  return {
    increment: (name, metricTags) => {
      client.increment(name, { ...metricTags });
    },
    timing: (name, duration, metricTags) => {
      client.timing(name, duration, { ...metricTags });
    },
    gauge: (name, value, metricTags) => {
      client.gauge(name, value, { ...metricTags });
    },
    close: () =>
      new Promise((resolve) => {
        client.close(() => {
          resolve();
        });
      }),
  };
}
