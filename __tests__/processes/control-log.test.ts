import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { afterEach, describe, expect, it } from 'vitest';

import { waitFor } from '../support/index.js';
import { ControlCluster, type ControlHost } from './control-cluster.js';

const clusters: ControlCluster[] = [];

afterEach(async () => {
  for (const cluster of clusters.splice(0)) {
    await cluster.stop();
  }
});

async function startCluster(): Promise<ControlCluster> {
  const cluster = await ControlCluster.start();
  clusters.push(cluster);
  return cluster;
}

function numberChanges(from: number, count: number): readonly string[] {
  return Array.from({ length: count }, (_, position) => `change-${from + position}`);
}

async function makeChanges(cluster: ControlCluster, changeIds: readonly string[]): Promise<void> {
  for (const changeId of changeIds) {
    await cluster.change(changeId);
  }
}

/** Waits until a host has applied the newest revision. */
async function catchUp(
  cluster: ControlCluster,
  host: ControlHost,
  revision: number,
): Promise<void> {
  await waitFor(`${host.name} to have revision ${revision}`, async () => {
    const view = await cluster.readControl(host);
    return view.revision === revision;
  });
}

describe('control hosts as processes', () => {
  // Symptom: a change that an operator was told of is gone, or is there twice. Sequence: the leader's process is killed
  // while a change is on its way; the operator resends it to another host. Cause: an answer before the quorum's syncs, or
  // a resend that is not known as one.
  it('keep every change once when the leader is killed in the middle of it', async () => {
    const cluster = await startCluster();
    const changeIds = numberChanges(1, 30);
    for (const [position, changeId] of changeIds.entries()) {
      if (position % 10 !== 5) {
        await cluster.change(changeId);
        continue;
      }
      const leader = await cluster.findLeader();
      const change = cluster.change(changeId);
      await cluster.kill(leader);
      expect(await change).toBe(position + 1);
      cluster.startHost(leader);
    }
    for (const host of cluster.hosts) {
      expect(await cluster.readHistory(host)).toEqual(changeIds);
    }
  });

  it('go on after all of them were killed when hundreds of changes had gone by', async () => {
    const cluster = await startCluster();
    const changeIds = numberChanges(1, 300);
    await makeChanges(cluster, changeIds);
    await Promise.all(cluster.hosts.map((host) => cluster.kill(host)));
    cluster.hosts.forEach((host) => cluster.startHost(host));
    expect(await cluster.change('the last')).toBe(301);
    const leader = await cluster.findLeader();
    expect(await cluster.readHistory(leader)).toEqual([...changeIds, 'the last']);
  });

  // Symptom: accepted changes are gone. Sequence: a host loses its disk and comes back, then another host is lost.
  // Cause: were the empty one to vote or count as it did before, the other lost host could have held the only copy.
  it('take a host with a new disk in again', async () => {
    const cluster = await startCluster();
    const changeIds = numberChanges(1, 10);
    await makeChanges(cluster, changeIds);
    const leader = await cluster.findLeader();
    const target = cluster.hosts.find((host) => host !== leader) ?? leader;
    await cluster.kill(target);
    await cluster.wipe(target);
    cluster.startHost(target);
    await catchUp(cluster, target, 10);
    await waitFor('the host to vote again', async () => {
      const { voters } = await cluster.readControl(target);
      return voters.length === 3 && voters.at(-1)?.name === target.name;
    });
    await cluster.kill(leader);
    expect(await cluster.change('the last')).toBe(11);
    expect(await cluster.readHistory(target)).toEqual([...changeIds, 'the last']);
  });

  // Symptom: an operator is shown an old configuration as the present one. Sequence: the leader's process is stopped, the
  // others take a change, the old leader goes on and is asked at once. Cause: for a stopped process no time has passed.
  it('give no old state as fresh after the leader was stopped for a while', async () => {
    const cluster = await startCluster();
    await makeChanges(cluster, numberChanges(1, 3));
    const old = await cluster.findLeader();
    cluster.signal(old, 'SIGSTOP');
    await makeChanges(cluster, numberChanges(4, 3));
    cluster.signal(old, 'SIGCONT');
    const seen = await cluster.readConfiguration(old).catch(() => undefined);
    expect(seen?.revision ?? 6).toBe(6);
    await catchUp(cluster, old, 6);
    expect(await cluster.change('change-7')).toBe(7);
  });

  // Symptom: accepted changes are gone after a restart. Sequence: bytes in the middle of the log change on the disk.
  // Cause: what follows them was answered; the host must not go on without it.
  it('stop with a numbered error at a damaged log', async () => {
    const cluster = await startCluster();
    await makeChanges(cluster, numberChanges(1, 5));
    const leader = await cluster.findLeader();
    await cluster.kill(leader);
    const path = join(leader.dataFolder, 'log-0000000001');
    const content = await readFile(path);
    content[30] = (content[30] ?? 0) ^ 0xff;
    await writeFile(path, content);
    const program = cluster.startHost(leader);
    const exit = await program.waitForExit();
    expect(exit.code).not.toBe(0);
    expect(program.output).toContain('damagedLog (5001)');
    expect(await cluster.change('change-6')).toBe(6);
  });
});
