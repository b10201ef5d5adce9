import { describe, expect, it } from 'vitest';

import { artifact, configure, declare } from '../placement/fixtures.js';
import { GroupSimulation } from './group-simulation.js';

/** Simulates each failure that a group has to tolerate and compares the recorded events with golden files. */

const configuration = configure([declare({ replicaSize: 3 })]);
/** One group of three and one spare in the same fabric domain. */
const four = ['bole-1', 'bole-2', 'bole-3', 'bole-4'];
/** A group of three in each of three fabric domains, each with a spare. */
const twelve = ['bole', 'kality', 'merkato'].flatMap((domain) =>
  [1, 2, 3, 4].map((number) => `${domain}-${number}`),
);

function start(names: readonly string[] = four, loaded = artifact): GroupSimulation {
  const simulation = new GroupSimulation(names, configuration, { loaded });
  simulation.advance(6000);
  return simulation;
}

async function expectGolden(simulation: GroupSimulation, name: string): Promise<void> {
  await expect(simulation.text).toMatchFileSnapshot(`../golden/groups/${name}.txt`);
}

describe('group failure simulations', () => {
  it('replaces a member whose process terminated', async () => {
    // Guards against a group that keeps admitting attempts without one of its hosts: the process terminates and its connections
    // close, while a loaded spare is idle. No attempt is admitted after the close, and the group serves again with the spare.
    const simulation = start();
    simulation.kill('bole-2');
    simulation.attempt('bole-1');
    simulation.advance(10_000);
    await expectGolden(simulation, 'death');
  });

  it('stops admitting after a silent loss when the lease expires', async () => {
    // A host that loses power neither responds nor closes its connections. The group must stop admitting when the lease expires,
    // before any new group gets the host.
    const simulation = start();
    simulation.powerOff('bole-2');
    simulation.advance(10_000);
    await expectGolden(simulation, 'power-loss');
  });

  it('survives a member that is paused and resumes', async () => {
    // Guards against a paused member that resumes with its old state: SIGSTOP, a spare replaces it, SIGCONT. The resumed member
    // must serve in no group until it is placed again.
    const simulation = start();
    simulation.freeze('bole-2');
    simulation.advance(12_000);
    simulation.resume('bole-2');
    simulation.advance(6000);
    await expectGolden(simulation, 'freeze-member');
  });

  it('refuses attempts at a lead that was paused and resumes', async () => {
    // Guards against a lead that uses leases that expired while it was paused: SIGSTOP of the lead, its members join a new placement,
    // SIGCONT with an attempt pending. The lead must refuse the attempt after reading the clock for the first time.
    const simulation = start();
    simulation.freeze('bole-1');
    simulation.advance(12_000);
    simulation.resume('bole-1');
    simulation.advance(6000);
    await expectGolden(simulation, 'freeze-lead');
  });

  it('makes a member that restarted within a lease wait before it grants another', async () => {
    // Guards against a host in two groups after a quick restart: a member restarts within a lease that it no longer remembers.
    // It must grant nothing for the longest lease duration.
    const simulation = new GroupSimulation(four.slice(0, 3), configuration, { loaded: artifact });
    simulation.advance(6000);
    simulation.kill('bole-3');
    simulation.advance(300);
    simulation.start('bole-3');
    simulation.advance(6000);
    await expectGolden(simulation, 'restart-within-lease');
  });

  it('replaces the placement of a lead that restarted', async () => {
    // Guards against attempts for an earlier incarnation of a restarted lead. A new placement must name its current incarnation.
    const simulation = new GroupSimulation(four.slice(0, 3), configuration, { loaded: artifact });
    simulation.advance(6000);
    simulation.kill('bole-1');
    simulation.advance(300);
    simulation.start('bole-1');
    simulation.advance(6000);
    await expectGolden(simulation, 'restart-lead');
  });

  it('continues serving while control is partitioned from all hosts', async () => {
    // Guards against a control partition that becomes a serving outage: control receives no reports for half a minute. It must
    // suspect its own isolation and change nothing, while the groups serve throughout.
    const simulation = start(twelve);
    twelve.forEach((name) => {
      simulation.cutLink(name, 'control');
    });
    simulation.advance(30_000);
    twelve.forEach((name) => {
      simulation.restoreLink(name, 'control');
    });
    simulation.advance(5000);
    ['bole-1', 'kality-1', 'merkato-1'].forEach((name) => {
      simulation.attempt(name);
    });
    await expectGolden(simulation, 'control-cut-off');
  });

  it('continues serving when only the lead of a group is partitioned from control', async () => {
    // Control dissolves a serving group after losing contact with its lead only. The members must follow the newer placement and
    // the old lead must stop at once, so that no attempt is admitted by both.
    const simulation = start();
    simulation.cutLink('bole-1', 'control');
    simulation.advance(12_000);
    simulation.attempt('bole-1');
    simulation.restoreLink('bole-1', 'control');
    simulation.advance(5000);
    await expectGolden(simulation, 'lead-cut-off-from-control');
  });

  it('replaces a member that control can reach but the lead cannot', async () => {
    // Guards against a group that stays down although all its members are healthy: control does not see a partition between two
    // members. The unreachable member must be replaced by a spare after a while.
    const simulation = start();
    simulation.cutLink('bole-1', 'bole-3');
    simulation.advance(20_000);
    await expectGolden(simulation, 'cut-between-members');
  });

  it('tolerates clock drift within the documented bound', async () => {
    // A lead with a slow clock measures a longer lease than a member with a fast one. The two are partitioned and the member joins a
    // new placement. The old group must have stopped before the new one serves.
    const rates = { 'bole-1': 0.9901, 'bole-2': 1.0099, 'bole-3': 1.0099 };
    const simulation = new GroupSimulation(four, configuration, { loaded: artifact, rates });
    simulation.advance(6000);
    ['bole-2', 'bole-3', 'control'].forEach((name) => {
      simulation.cutLink('bole-1', name);
    });
    simulation.advance(9000);
    simulation.attempt('bole-1');
    await expectGolden(simulation, 'clock-drift');
  });

  it('recovers from a second loss right after the first recovery', async () => {
    const simulation = start([...four, 'bole-5']);
    simulation.kill('bole-2');
    simulation.advance(1000);
    simulation.kill('bole-4');
    simulation.advance(8000);
    await expectGolden(simulation, 'second-loss');
  });

  it('treats a silent fabric domain as lost and continues serving in the others', async () => {
    const simulation = start(twelve);
    ['bole-1', 'bole-2', 'bole-3', 'bole-4'].forEach((name) => {
      simulation.powerOff(name);
    });
    simulation.advance(30_000);
    ['bole-1', 'bole-2', 'bole-3', 'bole-4'].forEach((name) => {
      simulation.start(name);
    });
    simulation.advance(8000);
    await expectGolden(simulation, 'dark-domain');
  });

  it('drains the whole group when one member is to stop, then re-forms it without that member', async () => {
    const simulation = start();
    simulation.setRunning('bole-1', 2);
    simulation.drain('bole-3');
    simulation.attempt('bole-1');
    simulation.advance(5000);
    simulation.setRunning('bole-1', 0);
    simulation.advance(6000);
    await expectGolden(simulation, 'planned-stop');
  });

  it('rolls out a new version group by group', async () => {
    const simulation = start(twelve);
    simulation.logHeading('version 2 is declared');
    const newer = { ...artifact, version: '2' };
    simulation.configure(
      configure([declare({ replicaSize: 3, carries: newer })], { groupDowntimeWeight: 10 }),
    );
    simulation.advance(70_000);
    await expectGolden(simulation, 'new-version');
  });
});
