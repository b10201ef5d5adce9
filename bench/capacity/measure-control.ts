/** What one more watcher and one more report stream cost a control host and their own end. */
import { waitFor } from '../../__tests__/support/index.js';
import { reportProgress } from '../support/index.js';
import {
  formatSlopes,
  measureAround,
  measureQuietly,
  withPair,
  type Column,
  type Interval,
  type MeasureOptions,
  type Pair,
} from './pair.js';

interface ReportMeasurement {
  readonly size: number;
  readonly quiet: Interval;
}

interface WatchMeasurement extends ReportMeasurement {
  /** Over all changes. */
  readonly changes: Interval;
  /** Slowest change, from being published to being in force at every watcher, in milliseconds. */
  readonly slowestChange: number;
}

const changeCount = 5;

const quietColumns: readonly Column<ReportMeasurement>[] = [
  { name: 'control CPU ms/s', read: ({ quiet }) => quiet.serverCpu / quiet.seconds },
  { name: 'clients CPU ms/s', read: ({ quiet }) => quiet.clientCpu / quiet.seconds },
  { name: 'bytes/s', read: ({ quiet }) => quiet.bytes / quiet.seconds },
  { name: 'control resident MB', read: ({ quiet }) => quiet.server.residentMegabytes },
  { name: 'control heap MB', read: ({ quiet }) => quiet.server.heapMegabytes },
  { name: 'clients heap MB', read: ({ quiet }) => quiet.client.heapMegabytes },
];

const changeColumns: readonly Column<WatchMeasurement>[] = [
  { name: 'control CPU ms a change', read: ({ changes }) => changes.serverCpu / changeCount },
  { name: 'clients CPU ms a change', read: ({ changes }) => changes.clientCpu / changeCount },
  { name: 'bytes a change', read: ({ changes }) => changes.bytes / changeCount },
  { name: 'slowest change ms', read: ({ slowestChange }) => slowestChange },
];

/** Watches: heartbeats once a second, then configuration changes of 100 KB. */
export async function measureWatches(options: MeasureOptions): Promise<string> {
  const measurements: WatchMeasurement[] = [];
  for (const size of options.sizes) {
    reportProgress(`${size} watchers`);
    const roles = { server: 'control', serverOptions: [], client: 'watchers', connections: size };
    measurements.push(await withPair(roles, (pair) => measureWatchers(pair, size, options)));
  }
  return formatSlopes('watchers', measurements, [...quietColumns, ...changeColumns]);
}

/** Report streams with a heartbeat once a second. */
export async function measureReports(options: MeasureOptions): Promise<string> {
  const measurements: ReportMeasurement[] = [];
  for (const size of options.sizes) {
    reportProgress(`${size} report streams`);
    const roles = { server: 'control', serverOptions: [], client: 'reporters', connections: size };
    const quiet = await withPair(roles, (pair) => measureQuietly(pair, options.seconds));
    measurements.push({ size, quiet });
  }
  return formatSlopes('report streams', measurements, quietColumns);
}

async function measureWatchers(
  pair: Pair,
  size: number,
  options: MeasureOptions,
): Promise<WatchMeasurement> {
  await waitForRevision(pair, size, await pair.server.ask('publish'));
  const quiet = await measureQuietly(pair, options.seconds);
  let slowestChange = 0;
  const changes = await measureAround(pair, async () => {
    for (let change = 0; change < changeCount; change += 1) {
      const start = performance.now();
      await waitForRevision(pair, size, await pair.server.ask('publish'));
      slowestChange = Math.max(slowestChange, performance.now() - start);
    }
  });
  return { size, quiet, changes, slowestChange };
}

function waitForRevision(pair: Pair, size: number, revision: string): Promise<unknown> {
  return waitFor(
    `revision ${revision} at ${size} watchers`,
    async () => Number(await pair.client.ask(revision)) === size,
  );
}
