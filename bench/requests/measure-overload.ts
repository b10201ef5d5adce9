/** Goodput, time to the first token and shed share from 0.5 to 3 times capacity, one account sending ten times as much. */
import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';
import type { CallerRecord } from './fake-gateway.js';
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
import { worldAccounts } from './world.js';

const sidecars = 4;
const concurrency = 16;
const gateways = 8;
/** Requests a second that all upstreams together can answer. */
const capacity = (sidecars * concurrency * 1000) / workDuration;
const loads = [0.5, 0.8, 1, 1.5, 2, 3] as const;
/** Requests that come before are not counted, in virtual milliseconds. */
const warmUp = 10_000;
const seed = 20_261_202;

/** `seconds` of virtual time for each row. */
export function measureOverload(seconds: number): string {
  const rows = loads.flatMap((load) => versions.map((version) => measure(load, version, seconds)));
  return formatMarkdownTable(
    [
      'load / capacity',
      'version',
      'goodput / capacity',
      'first token p50 ms',
      'first token p95 ms',
      'shed %',
      'unknown %',
      'whole % of the large account',
      'whole % of a small account',
      'attempts / request',
    ],
    rows,
  );
}

function measure(load: number, version: Version, seconds: number): readonly (string | number)[] {
  reportProgress(`overload: ${load} times capacity, ${version}`);
  const until = warmUp + seconds * 1000;
  const world = createWorld(version, { seed, gateways, sidecars, concurrency });
  startDemand(world, listUnequalDemands(load * capacity), until, seed);
  runToRest(world, until);
  const all = summarize(world.records, warmUp, until);
  const [large = '', small = ''] = worldAccounts;
  const share = (account: string): string =>
    formatWholeShare(world.records, account, warmUp, until);
  return [
    load,
    version,
    formatFigure(all.whole / seconds / capacity),
    all.firstToken.getValueAtPercentile(50),
    all.firstToken.getValueAtPercentile(95),
    formatFigure((100 * all.shed) / all.requests),
    formatFigure((100 * all.unknown) / all.requests),
    share(large),
    share(small),
    formatFigure(all.attempts / all.requests),
  ];
}

function formatWholeShare(
  records: readonly CallerRecord[],
  account: string,
  from: number,
  until: number,
): string {
  const own = records.filter(({ facts }) => facts.account === account);
  const { whole, requests } = summarize(own, from, until);
  return formatFigure((100 * whole) / requests);
}
