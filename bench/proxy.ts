/**
 * What gateway and sidecar cost against a bare proxy of the same number of hops, in one run.
 * Both paths end at stand-in engines of the same fleet; every answer is checked to be whole and the caller's own.
 */
import { Command } from 'commander';

import { Fleet, fleetKey, fleetModel } from '../__tests__/support/index.js';
import {
  announceReady,
  findRole,
  formatFigure,
  formatMarkdownTable,
  generateLoad,
  openBareProxy,
  reportProgress,
  startRole,
  sumProcessUsage,
  type LoadResult,
} from './support/index.js';

interface Path {
  readonly name: string;
  readonly origin: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Processes between caller and engine. */
  readonly pids: readonly number[];
}

interface Workload {
  readonly name: string;
  readonly isStreamed: boolean;
  readonly tokens: number;
  readonly concurrency: number;
  readonly requests: number;
}

interface Measurement {
  readonly path: Path;
  readonly load: LoadResult;
  readonly cpuMilliseconds: number;
  readonly residentMegabytes: number;
}

const warmUpRequests = 200;

const role = findRole();
if (role === undefined) {
  await main();
} else {
  announceReady(await openBareProxy(role.options[0] ?? ''));
}

async function main(): Promise<void> {
  const options = new Command('proxy')
    .option('--requests <count>', 'requests for each workload', Number, 2000)
    .parse()
    .opts<{ readonly requests: number }>();
  const fleet = await Fleet.start({ tokenMilliseconds: 1, serviceHosts: 0 });
  try {
    const paths = [await openBarePath(fleet), describeRealPath(fleet)];
    for (const workload of listWorkloads(options.requests)) {
      const measurements: Measurement[] = [];
      for (const path of paths) {
        measurements.push(await measure(path, workload));
      }
      console.log(formatWorkload(workload, measurements));
    }
  } finally {
    await fleet.stop();
  }
  process.exit();
}

function listWorkloads(requests: number): readonly Workload[] {
  const plain = { isStreamed: false, tokens: 1 };
  const streamed = { isStreamed: true, tokens: 64 };
  return [
    { name: 'not streamed, 1 at a time', ...plain, concurrency: 1, requests: requests / 2 },
    { name: 'not streamed, 32 at a time', ...plain, concurrency: 32, requests: requests * 2 },
    {
      name: 'streamed, 64 tokens, 1 at a time',
      ...streamed,
      concurrency: 1,
      requests: requests / 20,
    },
    { name: 'streamed, 64 tokens, 32 at a time', ...streamed, concurrency: 32, requests },
  ];
}

async function openBarePath(fleet: Fleet): Promise<Path> {
  const inner = await startRole('proxy', [`http://${fleet.member('engine-1').address}`]);
  const outer = await startRole('proxy', [inner.ready]);
  return {
    name: 'bare proxy, two hops',
    origin: outer.ready,
    headers: {},
    pids: [inner.pid, outer.pid],
  };
}

/** The members' sidecars are counted too: their leases are part of what an answer costs. */
function describeRealPath(fleet: Fleet): Path {
  const members = [...fleet.list('gateway'), ...fleet.list('sidecar')];
  return {
    name: 'gateway and sidecars',
    origin: fleet.origin(),
    headers: { authorization: `Bearer ${fleetKey}` },
    pids: members.map(({ program }) => program.pid),
  };
}

async function measure(path: Path, workload: Workload): Promise<Measurement> {
  reportProgress(`${path.name}: ${workload.name}`);
  const load = { ...workload, origin: path.origin, headers: path.headers, model: fleetModel };
  await generateLoad({ ...load, requests: Math.min(warmUpRequests, workload.requests) });
  const before = sumProcessUsage(path.pids);
  const result = await generateLoad(load);
  const after = sumProcessUsage(path.pids);
  return {
    path,
    load: result,
    cpuMilliseconds: after.cpuMilliseconds - before.cpuMilliseconds,
    residentMegabytes: after.residentMegabytes,
  };
}

function formatWorkload(workload: Workload, measurements: readonly Measurement[]): string {
  const header = [
    workload.name,
    'requests',
    'failures',
    'requests/s',
    'first byte p50 ms',
    'whole p50 ms',
    'whole p99 ms',
    'CPU ms/request',
    'resident MB',
  ];
  const rows = measurements.map(formatRow);
  const table = formatMarkdownTable(header, [...rows, formatRatios(measurements)]);
  const failure = measurements.flatMap(({ load }) => load.firstFailure ?? [])[0];
  return failure === undefined ? `${table}\n` : `${table}\n\nfirst failure: ${failure}\n`;
}

function formatRatios([bare, real]: readonly Measurement[]): readonly string[] {
  if (bare === undefined || real === undefined) {
    return [];
  }
  const bareFigures = listFigures(bare);
  const ratios = listFigures(real).map((figure, index) =>
    formatFigure(figure / (bareFigures[index] ?? NaN)),
  );
  return ['ratio', '', '', ...ratios];
}

function formatRow(measurement: Measurement): readonly (string | number)[] {
  const { path, load } = measurement;
  const figures = listFigures(measurement).map(formatFigure);
  return [path.name, load.requests, load.failures, ...figures];
}

/** In the order of the header. */
function listFigures(measurement: Measurement): readonly number[] {
  const { load, cpuMilliseconds, residentMegabytes } = measurement;
  return [
    load.requests / load.seconds,
    load.firstByte.getValueAtPercentile(50) / 1000,
    load.latency.getValueAtPercentile(50) / 1000,
    load.latency.getValueAtPercentile(99) / 1000,
    cpuMilliseconds / load.requests,
    residentMegabytes,
  ];
}
