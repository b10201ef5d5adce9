/** What one more host costs: a whole sidecar with its leases, its watch and its reports, and control before it. */
import { createEntropySource, createLogger } from '../../src/common/index.js';
import { ControlWatcher } from '../../src/watch/index.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { waitFor } from '../../__tests__/support/index.js';
import { reportProgress, startRole } from '../support/index.js';
import {
  formatSlopes,
  measureQuietly,
  withPair,
  type Column,
  type Interval,
  type MeasureOptions,
  type Pair,
} from './pair.js';

interface SidecarMeasurement {
  readonly size: number;
  readonly quiet: Interval;
  /** From the first configuration to the last group serving, in seconds. */
  readonly formingSeconds: number;
}

const replicaSize = 4;
/** Forming many groups on a busy machine takes a while; this only ends a hung bench. */
const formingPatience = 180_000;

const columns: readonly Column<SidecarMeasurement>[] = [
  { name: 'control CPU ms/s', read: ({ quiet }) => quiet.serverCpu / quiet.seconds },
  { name: 'sidecars CPU ms/s', read: ({ quiet }) => quiet.clientCpu / quiet.seconds },
  { name: 'bytes/s to and from control', read: ({ quiet }) => quiet.bytes / quiet.seconds },
  { name: 'control resident MB', read: ({ quiet }) => quiet.server.residentMegabytes },
  { name: 'control heap MB', read: ({ quiet }) => quiet.server.heapMegabytes },
  { name: 'sidecars heap MB', read: ({ quiet }) => quiet.client.heapMegabytes },
  { name: 'forming s', read: ({ formingSeconds }) => formingSeconds },
];

/** Groups of 4 that hold their leases and serve, without requests. */
export async function measureSidecars(options: MeasureOptions): Promise<string> {
  const measurements: SidecarMeasurement[] = [];
  for (const size of options.sizes) {
    reportProgress(`${size} sidecars`);
    const engines = await startRole('engines', ['', String(size)]);
    const roles = { server: 'control', serverOptions: [], client: 'sidecars', connections: size };
    measurements.push(await withPair(roles, (pair) => measurePair(pair, size, options)));
    await engines.stop();
  }
  return formatSlopes('sidecars', measurements, columns);
}

async function measurePair(
  pair: Pair,
  size: number,
  options: MeasureOptions,
): Promise<SidecarMeasurement> {
  const watcher = createWatcher(pair.server.ready);
  watcher.open();
  const start = performance.now();
  await pair.server.ask('publish');
  const groups = Math.floor(size / replicaSize);
  await waitFor(`${groups} groups`, () => countServing(watcher) === groups, formingPatience);
  const formingSeconds = (performance.now() - start) / 1000;
  await watcher.close();
  return { size, quiet: await measureQuietly(pair, options.seconds), formingSeconds };
}

function createWatcher(control: string): ControlWatcher {
  return new ControlWatcher({
    watcher: 'bench',
    kind: 'gateway',
    address: '',
    control: [control],
    clients: new RpcClientPool(),
    logger: createLogger('bench', 'error'),
    random: createEntropySource(),
  });
}

function countServing(watcher: ControlWatcher): number {
  return [...watcher.read().groups.values()].filter((group) => group.isServing).length;
}
