/**
 * Group downtime and stranded accelerators under seeded traces of losses, our placement at both users' weights against a
 * naive one; and what leases and decisions cost. Figures for docs/measurements/groups.md.
 */
import { Command } from 'commander';

import type { Policy } from '../src/model/index.js';
import { measureLeases, measureSteps } from './groups/costs.js';
import { measureProcesses } from './groups/processes.js';
import { countPossible, loadSeconds, Replay, type ReplayResult } from './groups/replay.js';
import {
  NaiveStrategy,
  OwnStrategy,
  type Strategy,
  type StrategyOptions,
} from './groups/strategies.js';
import { createLargeFleet, createTodaysFleet, createTrace, type Fleet } from './groups/trace.js';
import { formatFigure, formatMarkdownTable, reportProgress } from './support/index.js';

interface CommandLine {
  readonly part?: string;
  readonly seeds: number;
  readonly only?: string;
}

interface Contender {
  readonly label: string;
  readonly policy: Partial<Policy>;
  readonly create: (options: StrategyOptions) => Strategy;
}

const own = (options: StrategyOptions) => new OwnStrategy(options);
const naive = (options: StrategyOptions) => new NaiveStrategy(options);

/** Berhane weighs downtime, the Guild stranded accelerators; both with and without groups across fabric domains. */
const contenders: readonly Contender[] = [
  { label: 'naive', policy: {}, create: naive },
  { label: 'Berhane 10:1', policy: weigh(10, 1, false), create: own },
  { label: 'Guild 1:10', policy: weigh(1, 10, false), create: own },
  { label: 'naive, across fabrics', policy: { allowAcrossFabricDomains: true }, create: naive },
  { label: 'Berhane 10:1, across fabrics', policy: weigh(10, 1, true), create: own },
  { label: 'Guild 1:10, across fabrics', policy: weigh(1, 10, true), create: own },
];

const firstSeed = 20_261_202;

const options = new Command('groups')
  .option('--part <name>', 'one of today, large, leases, steps, processes; all by default')
  .option('--only <text>', 'replay only placements whose label contains this')
  .option('--seeds <count>', 'traces of each fleet', Number, 3)
  .parse()
  .opts<CommandLine>();

await runPart('today', () => replayFleet(createTodaysFleet('30 runners')));
await runPart('large', () => replayFleet(createLargeFleet()));
await runPart('leases', measureLeases);
await runPart('steps', measureSteps);
await runPart('processes', measureProcesses);

async function runPart(name: string, measure: () => string | Promise<string>): Promise<void> {
  if (options.part === undefined || options.part === name) {
    console.log(`### ${name}\n\n${await measure()}\n`);
  }
}

function weigh(
  groupDowntimeWeight: number,
  strandedAcceleratorWeight: number,
  allowAcrossFabricDomains: boolean,
): Partial<Policy> {
  return { groupDowntimeWeight, strandedAcceleratorWeight, allowAcrossFabricDomains };
}

function replayFleet(fleet: Fleet): string {
  const chosen = contenders.filter(({ label }) => label.includes(options.only ?? ''));
  const rows = chosen.map((contender) => {
    const results = Array.from({ length: options.seeds }, (_, index) => {
      reportProgress(`${fleet.label}, ${contender.label}, trace ${index + 1}`);
      return replay(fleet, contender, firstSeed + index);
    });
    const isAcross = contender.policy.allowAcrossFabricDomains === true;
    const wanted = countPossible(fleet.hosts, fleet.replicaSize, isAcross);
    return [contender.label, String(wanted), ...describe(results, fleet)];
  });
  return formatMarkdownTable(
    [
      `${fleet.label}, ${fleet.days} d`,
      'groups wanted',
      'group downtime, group-h a day',
      'of it unavoidable',
      'without any group, s a day',
      'stranded, host-h a day',
      'across fabrics, group-h a day',
      'whole groups lost a day',
      'mean s to as many whole again',
      'of it avoidable',
      'loads a day',
      'placements a day',
      'ms a decision',
    ],
    rows,
  );
}

function replay(fleet: Fleet, contender: Contender, seed: number): ReplayResult {
  const policy = { ...contender.policy, concurrentLoads: fleet.concurrentLoads };
  const strategy = contender.create({
    policy,
    replicaSize: fleet.replicaSize,
    loadDuration: loadSeconds * 1000,
  });
  const isAcross = policy.allowAcrossFabricDomains === true;
  return new Replay(fleet, createTrace(fleet, seed), strategy, isAcross).run();
}

function describe(results: readonly ReplayResult[], fleet: Fleet): readonly string[] {
  const days = fleet.days * results.length;
  const sum = (read: (result: ReplayResult) => number) =>
    results.reduce((total, result) => total + read(result), 0);
  const losses = sum((result) => result.losses);
  const downtime = sum((result) => result.groupDowntime);
  const unavoidable = sum((result) => result.unavoidable);
  const figures = [
    downtime / 3600 / days,
    unavoidable / 3600 / days,
    sum((result) => result.noGroup) / days,
    sum((result) => result.strandedHosts) / 3600 / days,
    sum((result) => result.acrossFabric) / 3600 / days,
    losses / days,
    downtime / losses,
    (downtime - unavoidable) / losses,
    sum((result) => result.loads) / days,
    sum((result) => result.placements) / days,
    sum((result) => result.millisecondsPerDecision) / results.length,
  ];
  return figures.map(formatFigure);
}
