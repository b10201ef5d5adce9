/**
 * Slopes for docs/CAPACITY.md: what one more watcher, report stream, lease stream or token costs.
 * Stand-alone pieces of the real processes on loopback, at several sizes.
 */
import { Command } from 'commander';

import { runReporterRole, runWatcherRole } from './capacity/client-roles.js';
import { runControlRole } from './capacity/control-role.js';
import {
  confirmingInterval,
  regularInterval,
  runLeaseLeadRole,
  runLeaseMemberRole,
} from './capacity/lease-roles.js';
import { measureReports, measureWatches } from './capacity/measure-control.js';
import { measureProcesses } from './capacity/measure-processes.js';
import { measureRestarts } from './capacity/measure-restarts.js';
import { measureSidecars } from './capacity/measure-sidecars.js';
import { measureConfirmations, measureLeases, measureTokens } from './capacity/measure-streams.js';
import type { MeasureOptions } from './capacity/pair.js';
import { runEngineRole, runSidecarRole } from './capacity/sidecar-roles.js';
import { runTokenClientRole, runTokenServerRole } from './capacity/token-roles.js';
import { findRole } from './support/index.js';

interface Part {
  readonly name: string;
  /** Sizes at which one event loop still has time to spare; beyond that the figure would be of queues. */
  readonly sizes: readonly number[];
  readonly measure: (options: MeasureOptions) => Promise<string>;
}

interface CommandLine {
  readonly part?: string;
  readonly sizes?: readonly number[];
  readonly seconds: number;
}

const parts: readonly Part[] = [
  { name: 'watch', sizes: [50, 100, 200, 400], measure: measureWatches },
  { name: 'report', sizes: [50, 100, 200, 400], measure: measureReports },
  { name: 'sidecar', sizes: [16, 32, 64, 96], measure: measureSidecars },
  { name: 'restart', sizes: [100, 200, 400, 800], measure: measureRestarts },
  { name: 'process', sizes: [], measure: measureProcesses },
  { name: 'lease', sizes: [25, 50, 100, 200], measure: measureLeases },
  { name: 'confirm', sizes: [10, 20, 40, 80], measure: measureConfirmations },
  { name: 'tokens', sizes: [300], measure: measureTokens },
];

const role = findRole();
if (role === undefined) {
  await main();
} else {
  await runRole(role.name, role.options);
}

async function main(): Promise<void> {
  const options = new Command('capacity')
    .option('--part <name>', `one of ${parts.map(({ name }) => name).join(', ')}; all by default`)
    .option('--sizes <list>', 'sizes to measure at, by commas', parseSizes)
    .option('--seconds <count>', 'length of each quiet measurement', Number, 10)
    .parse()
    .opts<CommandLine>();
  for (const part of parts) {
    if (options.part === undefined || options.part === part.name) {
      console.log(`### ${part.name}\n\n${await part.measure({ sizes: part.sizes, ...options })}\n`);
    }
  }
  process.exit();
}

async function runRole(name: string, options: readonly string[]): Promise<void> {
  // The second option is a count of connections, or for the token server the tokens in a frame.
  const [address = '', count = '0'] = options;
  switch (name) {
    case 'control':
      await runControlRole(address, options[1]);
      return;
    case 'watchers':
      runWatcherRole(address, Number(count));
      return;
    case 'reporters':
      runReporterRole(address, Number(count));
      return;
    case 'sidecars':
      await runSidecarRole(address, Number(count));
      return;
    case 'engines':
      await runEngineRole(Number(count));
      return;
    case 'lease-member':
      await runLeaseMemberRole(address);
      return;
    case 'lease-lead':
      runLeaseLeadRole(address, Number(count), regularInterval);
      return;
    case 'confirming-lead':
      runLeaseLeadRole(address, Number(count), confirmingInterval);
      return;
    case 'token-server':
      await runTokenServerRole(address, Number(count));
      return;
    case 'token-client':
      runTokenClientRole(address, Number(count));
      return;
    default:
      throw new Error(`no role ${name}`);
  }
}

function parseSizes(text: string): readonly number[] {
  return text.split(',').map(Number);
}
