/** What each role's own process takes while nothing is asked of it: leases, watches, reports and the log go on. */
import { setTimeout as sleep } from 'node:timers/promises';

import { Fleet, type FleetMember } from '../../__tests__/support/index.js';
import {
  formatFigure,
  formatMarkdownTable,
  readProcessUsage,
  reportProgress,
  type ProcessUsage,
} from '../support/index.js';
import type { MeasureOptions } from './pair.js';

interface RoleMembers {
  readonly role: string;
  readonly members: readonly FleetMember[];
}

const settleMilliseconds = 5000;

/** Three control hosts, two gateways, two groups of four, one plain service: each a process of its own. */
export async function measureProcesses(options: MeasureOptions): Promise<string> {
  reportProgress('whole fleet, quiet');
  const fleet = await Fleet.start({ controls: 3, gateways: 2, engineHosts: 8 });
  try {
    await sleep(settleMilliseconds);
    const roles = await listRoles(fleet);
    const before = roles.map(readUsages);
    await sleep(options.seconds * 1000);
    const rows = roles.map((role, index) => createRow(role, before[index] ?? [], options.seconds));
    return formatMarkdownTable(['role', 'processes', 'CPU ms/s each', 'resident MB each'], rows);
  } finally {
    await fleet.stop();
  }
}

async function listRoles(fleet: Fleet): Promise<readonly RoleMembers[]> {
  const groups = await listMembers(fleet);
  const sidecars = fleet.list('sidecar');
  const leads = new Set(groups.filter((names) => names.length > 1).map((names) => names[0]));
  const services = new Set(groups.filter((names) => names.length === 1).map((names) => names[0]));
  return [
    { role: 'control', members: fleet.list('control') },
    { role: 'gateway', members: fleet.list('gateway') },
    { role: 'sidecar as lead', members: sidecars.filter(({ name }) => leads.has(name)) },
    {
      role: 'sidecar as member',
      members: sidecars.filter(({ name }) => !leads.has(name) && !services.has(name)),
    },
    {
      role: 'sidecar beside a plain service',
      members: sidecars.filter(({ name }) => services.has(name)),
    },
  ];
}

/** Hosts of each placed group, lead first. */
async function listMembers(fleet: Fleet): Promise<readonly (readonly string[])[]> {
  const { output } = await fleet.runCommand(['groups', '--json']);
  const view = JSON.parse(output) as {
    readonly groups: readonly { readonly members: readonly string[] }[];
  };
  return view.groups.map(({ members }) => members);
}

function readUsages({ members }: RoleMembers): readonly ProcessUsage[] {
  return members.map(({ program }) => readProcessUsage(program.pid));
}

function createRow(
  role: RoleMembers,
  before: readonly ProcessUsage[],
  seconds: number,
): readonly string[] {
  const after = readUsages(role);
  const cpu = sumCpu(after) - sumCpu(before);
  const resident = after.reduce((sum, usage) => sum + usage.residentMegabytes, 0);
  const count = role.members.length;
  return [
    role.role,
    String(count),
    formatFigure(cpu / seconds / count),
    formatFigure(resident / count),
  ];
}

function sumCpu(usages: readonly ProcessUsage[]): number {
  return usages.reduce((sum, usage) => sum + usage.cpuMilliseconds, 0);
}
