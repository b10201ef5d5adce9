/**
 * What the leader of control spends as engines and gateways grow: in the first seconds, when all of them come at once as after a start
 * or a change of the leader, and afterwards, when nothing changes but loads.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { Command } from 'commander';

import { reservePort } from '../__tests__/support/index.js';
import { runGatewaysRole, runSidecarsRole } from './leader/client-roles.js';
import { runLeaderRole, type LeaderUsage } from './leader/leader-role.js';
import {
  findRole,
  formatFigure,
  formatMarkdownTable,
  reportProgress,
  startRole,
  type RoleProcess,
} from './support/index.js';

const herdMilliseconds = 5000;
/** Sidecars in one client process: more would make the client the bottleneck. */
const sidecarsInProcess = 100;
/** Engines to each gateway. */
const enginesPerGateway = 8;
const millisecondsPerSecond = 1000;

const role = findRole();
if (role === undefined) {
  await measureAll();
} else {
  const [address = '', count = '0', first = '0'] = role.options;
  switch (role.name) {
    case 'leader':
      await runLeaderRole(address);
      break;
    case 'sidecars':
      runSidecarsRole(address, Number(count), Number(first));
      break;
    case 'gateways':
      runGatewaysRole(address, Number(count));
      break;
    default:
      throw new Error(`there is no role ${role.name}`);
  }
}

async function measureAll(): Promise<void> {
  const { sizes, seconds, functions } = new Command()
    .option('--sizes <list>', 'engines', '24,100,400')
    .option('--seconds <seconds>', 'length of the quiet measurement', Number, 10)
    .option('--functions', 'lists the costliest functions')
    .parse()
    .opts<{
      readonly sizes: string;
      readonly seconds: number;
      readonly functions?: boolean;
    }>();
  const rows: string[][] = [];
  for (const size of sizes.split(',').map(Number)) {
    reportProgress(`${size} engines`);
    rows.push(await measure(size, seconds, functions === true));
  }
  const header = [
    'engines',
    'gateways',
    'first 5 s, CPU ms',
    'longest turn ms',
    'open groups',
    'quiet, CPU ms/s',
    'longest turn ms',
  ];
  console.log(formatMarkdownTable(header, rows));
}

async function measure(size: number, seconds: number, isDetailed: boolean): Promise<string[]> {
  const gatewayCount = Math.ceil(size / enginesPerGateway);
  const leader = await startRole('leader', [`127.0.0.1:${await reservePort()}`]);
  const address = leader.ready;
  await leader.ask('document');
  await askLeader(leader);
  const roles: RoleProcess[] = [];
  try {
    const started = [startRole('gateways', [address, String(gatewayCount)])];
    for (let first = 0; first < size; first += sidecarsInProcess) {
      const count = Math.min(sidecarsInProcess, size - first);
      started.push(startRole('sidecars', [address, String(count), String(first)]));
    }
    roles.push(...(await Promise.all(started)));
    await sleep(herdMilliseconds);
    const herd = await askLeader(leader);
    await sleep(seconds * millisecondsPerSecond);
    const quiet = await askLeader(leader);
    if (isDetailed) {
      console.log(`${size} engines, first seconds:\n${herd.functions.join('\n')}\n`);
      console.log(`${size} engines, quiet:\n${quiet.functions.join('\n')}\n`);
    }
    const openGroups = (await roles[0]?.ask('open')) ?? '';
    return [
      String(size),
      String(gatewayCount),
      formatFigure(herd.cpuMilliseconds),
      formatFigure(herd.longestTurn),
      openGroups,
      formatFigure(quiet.cpuMilliseconds / seconds),
      formatFigure(quiet.longestTurn),
    ];
  } finally {
    await Promise.all(roles.map((each) => each.stop()));
    await leader.stop();
  }
}

async function askLeader(leader: RoleProcess): Promise<LeaderUsage> {
  return JSON.parse(await leader.ask('usage-since')) as LeaderUsage;
}
