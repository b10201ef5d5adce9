/** Figures for docs/measurements/consensus.md: three real control hosts on loopback, real syncs, and the core alone. */
import { Command } from 'commander';

import { logRoleName, runLogRole, type LogRoleSettings } from './consensus/log-role.js';
import { measureCommits } from './consensus/measure-commits.js';
import { measureDisk } from './consensus/measure-disk.js';
import { measureElections } from './consensus/measure-elections.js';
import { measureIdle, measureSizes } from './consensus/measure-idle.js';
import { measureLog } from './consensus/measure-log.js';
import { measureSteps } from './consensus/measure-steps.js';
import { findRole } from './support/index.js';

interface CommandLine {
  readonly part?: string;
  readonly seconds: number;
}

interface Part {
  readonly name: string;
  readonly measure: (seconds: number) => string | Promise<string>;
}

const parts: readonly Part[] = [
  { name: 'steps', measure: measureSteps },
  { name: 'disk', measure: measureDisk },
  { name: 'log', measure: measureLog },
  { name: 'commits', measure: measureCommits },
  { name: 'elections', measure: measureElections },
  { name: 'idle', measure: measureIdle },
  { name: 'sizes', measure: measureSizes },
];

const role = findRole();
if (role?.name === logRoleName) {
  await runLogRole(JSON.parse(role.options[0] ?? '') as LogRoleSettings);
} else {
  await main();
}

async function main(): Promise<void> {
  const options = new Command('consensus')
    .option('--part <name>', `one of ${parts.map(({ name }) => name).join(', ')}; all by default`)
    .option('--seconds <count>', 'length of each timed measurement', Number, 10)
    .parse()
    .opts<CommandLine>();
  for (const part of parts) {
    if (options.part === undefined || options.part === part.name) {
      console.log(`### ${part.name}\n\n${await part.measure(options.seconds)}\n`);
    }
  }
  process.exit();
}
