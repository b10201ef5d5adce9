/**
 * What gateway and sidecar cost against a bare proxy of the same number of hops, in one run.
 * Both paths end at the same stand-in engine; every answer is checked to be whole and the caller's own.
 */
import { Command } from 'commander';

import { ProgramGroup, reservePort, type RunningProgram } from '../__tests__/support/index.js';
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
  const group = await ProgramGroup.create();
  try {
    const engine = await startEngine(group);
    const paths = [await openBarePath(engine)];
    for (const workload of listWorkloads(options.requests)) {
      const measurements: Measurement[] = [];
      for (const path of paths) {
        measurements.push(await measure(path, workload));
      }
      console.log(formatWorkload(workload, measurements));
    }
  } finally {
    await group.stop();
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

async function startEngine(group: ProgramGroup): Promise<string> {
  const address = `127.0.0.1:${await reservePort()}`;
  const engine: RunningProgram = group.start('pistachiospoke-stand-in', [
    'engine',
    ...['--listen', address],
    ...['--sidecar', '127.0.0.1:9'],
    ...['--token-milliseconds', '1'],
  ]);
  reportProgress(`engine at ${address}, process ${engine.pid}`);
  return `http://${address}`;
}

async function openBarePath(engineOrigin: string): Promise<Path> {
  const inner = await startRole('proxy', [engineOrigin]);
  const outer = await startRole('proxy', [inner.ready]);
  return {
    name: 'bare proxy, two hops',
    origin: outer.ready,
    headers: {},
    pids: [inner.pid, outer.pid],
  };
}

async function measure(path: Path, workload: Workload): Promise<Measurement> {
  reportProgress(`${path.name}: ${workload.name}`);
  const load = { ...workload, origin: path.origin, headers: path.headers, model: 'assist' };
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
  const table = formatMarkdownTable(header, measurements.map(formatRow));
  const failure = measurements.find(({ load }) => load.firstFailure !== undefined)?.load;
  return failure === undefined
    ? `${table}\n`
    : `${table}\n\nfirst failure: ${String(failure.firstFailure)}\n`;
}

function formatRow(measurement: Measurement): readonly (string | number)[] {
  const { path, load, cpuMilliseconds, residentMegabytes } = measurement;
  return [
    path.name,
    load.requests,
    load.failures,
    formatFigure(load.requests / load.seconds),
    formatFigure(load.firstByte.getValueAtPercentile(50) / 1000),
    formatFigure(load.latency.getValueAtPercentile(50) / 1000),
    formatFigure(load.latency.getValueAtPercentile(99) / 1000),
    formatFigure(cpuMilliseconds / load.requests),
    formatFigure(residentMegabytes),
  ];
}
