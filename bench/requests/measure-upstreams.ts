/** Retries for each request when one upstream of four is dead, slow or silent. */
import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';
import {
  createWorld,
  listUnequalDemands,
  runToRest,
  startDemand,
  summarize,
  versions,
  workDuration,
  type Version,
} from './workload.js';
import type { World } from './world.js';

const sidecars = 4;
const concurrency = 16;
const gateways = 8;
/** Three upstreams can carry it. */
const load = 0.5;
const capacity = (sidecars * concurrency * 1000) / workDuration;
/** When the upstream fails, in virtual milliseconds. */
const failsAt = 10_000;
const seed = 20_261_202;

type Fault = 'none' | 'dead' | 'slow' | 'silent';

const faults: readonly Fault[] = ['none', 'dead', 'slow', 'silent'];

/** `seconds` of virtual time after the fault for each row; requests under way at its moment are counted. */
export function measureUpstreams(seconds: number): string {
  const rows = faults.flatMap((fault) =>
    versions.map((version) => measure(fault, version, seconds)),
  );
  return formatMarkdownTable(
    [
      'one upstream of four',
      'version',
      'requests',
      'retries / request',
      'most attempts',
      'first token p95 ms',
      'first token p99 ms',
      'whole %',
      'shed %',
      'unknown %',
    ],
    rows,
  );
}

function measure(fault: Fault, version: Version, seconds: number): readonly (string | number)[] {
  reportProgress(`one upstream ${fault}, ${version}`);
  const until = failsAt + seconds * 1000;
  const world = createWorld(version, { seed, gateways, sidecars, concurrency });
  world.loop.after(failsAt, () => {
    cause(world, fault);
  });
  startDemand(world, listUnequalDemands(load * capacity), until, seed);
  runToRest(world, until);
  const outcome = summarize(world.records, failsAt - workDuration, until);
  const { requests, attempts, firstToken } = outcome;
  const share = (count: number): string => formatFigure((100 * count) / requests);
  return [
    fault,
    version,
    requests,
    formatFigure((attempts - requests) / requests),
    outcome.mostAttempts,
    firstToken.getValueAtPercentile(95),
    firstToken.getValueAtPercentile(99),
    share(outcome.whole),
    share(outcome.shed),
    share(outcome.unknown),
  ];
}

function cause(world: World, fault: Fault): void {
  const [victim] = world.sidecars;
  if (victim === undefined) {
    return;
  }
  switch (fault) {
    case 'none':
      return;
    case 'dead':
      victim.restart();
      victim.isDead = true;
      return;
    case 'slow':
      victim.slowness = 10;
      return;
    case 'silent':
      victim.freeze();
      return;
  }
}
