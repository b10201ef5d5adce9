import { mkdir, mkdtemp, rm } from 'node:fs/promises';
import { join, resolve } from 'node:path';

import { reservePort, waitFor } from '../../__tests__/support/index.js';
import {
  formatFigure,
  formatMarkdownTable,
  reportProgress,
  startRole,
  type RoleProcess,
} from '../support/index.js';
import { logRoleName, type LogLoad, type LogLoadResult, type LogRoleSettings } from './log-role.js';

const submitterCounts = [1, 8, 64, 256, 1024];

/** The log alone, in three processes: the leader proposes to itself, with commands of 250 characters. */
export async function measureLog(seconds: number): Promise<string> {
  await mkdir('run', { recursive: true });
  const folder = await mkdtemp(resolve('run', 'bench-log-'));
  const roles = await startLogHosts(folder);
  try {
    const leader = await waitFor('a leader', () => findLeader(roles));
    const rows: string[][] = [];
    for (const submitters of submitterCounts) {
      reportProgress(`log: ${submitters} submitters`);
      const load: LogLoad = { submitters, seconds };
      const result = JSON.parse(await leader.ask(JSON.stringify(load))) as LogLoadResult;
      rows.push([
        String(submitters),
        formatFigure(result.commitsPerSecond),
        ...result.percentiles.map(formatFigure),
        String(result.failures),
      ]);
    }
    const header = ['submitters', 'commits/s', 'p50 ms', 'p95 ms', 'p99 ms', 'failures'];
    return formatMarkdownTable(header, rows);
  } finally {
    await Promise.all(roles.map((role) => role.stop()));
    await rm(folder, { recursive: true, force: true });
  }
}

async function startLogHosts(folder: string): Promise<readonly RoleProcess[]> {
  const places = await Promise.all(
    ['a', 'b', 'c'].map(async (name) => ({ name, address: `127.0.0.1:${await reservePort()}` })),
  );
  return Promise.all(
    places.map(({ name, address }) => {
      const settings: LogRoleSettings = {
        name,
        listen: address,
        peers: places.filter((place) => place.name !== name),
        dataFolder: join(folder, name),
      };
      return startRole(logRoleName, [JSON.stringify(settings)]);
    }),
  );
}

async function findLeader(roles: readonly RoleProcess[]): Promise<RoleProcess | undefined> {
  for (const role of roles) {
    if ((await role.ask('view')) === 'leader') {
      return role;
    }
  }
  return undefined;
}
