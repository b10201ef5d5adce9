import { setTimeout as sleep } from 'node:timers/promises';

import {
  formatFigure,
  formatMarkdownTable,
  readProcessUsage,
  reportProgress,
} from '../support/index.js';
import { ControlGroup, createChange } from './control-group.js';

const settleMilliseconds = 3000;
const changes = 2500;
const heartbeats = [100, 250];

/** What control hosts without any work send each other and compute. */
export async function measureIdle(seconds: number): Promise<string> {
  const tables: string[] = [];
  for (const heartbeat of heartbeats) {
    tables.push(await measureIdleAt(heartbeat, seconds));
  }
  return tables.join('\n\n');
}

async function measureIdleAt(heartbeat: number, seconds: number): Promise<string> {
  const control = await ControlGroup.start(heartbeat);
  try {
    const leader = await control.findLeader();
    await sleep(settleMilliseconds);
    reportProgress(`idle: ${seconds} s with a heartbeat of ${heartbeat} ms`);
    const usageBefore = control.hosts.map((host) => readProcessUsage(control.findPid(host)));
    const bytesBefore = control.carriedBytes;
    await sleep(seconds * 1000);
    const bytes = control.carriedBytes - bytesBefore;
    const rows = control.hosts.map((host, position) => {
      const usage = readProcessUsage(control.findPid(host));
      const cpu = usage.cpuMilliseconds - (usageBefore[position]?.cpuMilliseconds ?? 0);
      const role = host === leader ? 'leader' : 'follower';
      const share = formatFigure(cpu / seconds / 10);
      return [`${host.name} (${role})`, share, formatFigure(usage.residentMegabytes)];
    });
    const table = formatMarkdownTable(['control host', 'CPU % of a core', 'resident MB'], rows);
    const sum = `Bytes a second between the three: ${formatFigure(bytes / seconds)}`;
    return `Heartbeat of ${heartbeat} ms:\n\n${table}\n\n${sum}`;
  } finally {
    await control.stop();
  }
}

/** What changes by operators leave on the disk. */
export async function measureSizes(): Promise<string> {
  const control = await ControlGroup.start();
  try {
    const leader = await control.findLeader();
    const start = performance.now();
    for (let revision = 0; revision < changes; revision += 1) {
      if (!(await control.submit(leader, createChange(revision)))) {
        throw new Error(`change ${revision} was not accepted`);
      }
      if (revision % 500 === 499) {
        reportProgress(`sizes: ${revision + 1} changes`);
      }
    }
    const elapsed = (performance.now() - start) / 1000;
    const log = await control.measureFiles(leader, 'log-');
    const snapshot = await control.measureFiles(leader, 'snapshot');
    const rows = [
      ['changes, one after the other', String(changes)],
      ['changes a second', formatFigure(changes / elapsed)],
      ['log files, bytes', String(log)],
      ['log, bytes a change', formatFigure(log / changes)],
      ['snapshot after 2,000 entries, bytes', String(snapshot)],
      ['snapshot, bytes a change that it holds', formatFigure(snapshot / 2000)],
    ];
    return formatMarkdownTable(['what', 'figure'], rows);
  } finally {
    await control.stop();
  }
}
