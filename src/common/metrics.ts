import { StatsD } from 'hot-shots';

import type { Milliseconds } from './time.js';

/** Metrics by StatsD; docs/METRICS.md lists the names. */

/** Where metrics go; the tags are few and bounded. */
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

/** Where the StatsD daemon listens. */
export interface MetricsTarget {
  readonly host: string;
  readonly port: number;
}

const metricPrefix = 'pistachiospoke.';

/** Metrics that go nowhere. */
const noMetrics: Metrics = {
  increment: () => undefined,
  timing: () => undefined,
  gauge: () => undefined,
  close: () => Promise.resolve(),
};

/**
 * Sends to the target by UDP, or nowhere when settings name none.
 * Nowhere is no client at all: one in its mock mode keeps every metric in memory, and the process grows until it is killed.
 */
export function createMetrics(
  target: MetricsTarget | undefined,
  tags: Readonly<Record<string, string>>,
): Metrics {
  return target === undefined ? noMetrics : createClient(target, tags);
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
    // A daemon that is away must not stop a process: an unhandled socket error would.
    errorHandler: () => undefined,
  });
  return {
    increment: (name, own) => {
      client.increment(name, { ...own });
    },
    timing: (name, duration, own) => {
      client.timing(name, duration, { ...own });
    },
    gauge: (name, value, own) => {
      client.gauge(name, value, { ...own });
    },
    close: () =>
      new Promise((resolve) => {
        client.close(() => {
          resolve();
        });
      }),
  };
}
