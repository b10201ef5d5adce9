import { describe, expect, it } from 'vitest';

import { artifact, configure, declare } from '../placement/fixtures.js';
import { Session } from './session.js';

/** Whole sessions of each failure that a group has to stand, against golden files. */

const configuration = configure([declare({ replicaSize: 3 })]);
/** One group of three and one spare in the same fabric domain. */
const four = ['bole-1', 'bole-2', 'bole-3', 'bole-4'];
/** A group of three in each of three fabric domains, each with a spare. */
const twelve = ['bole', 'kality', 'merkato'].flatMap((domain) =>
  [1, 2, 3, 4].map((number) => `${domain}-${number}`),
);

function start(names: readonly string[] = four, loaded = artifact): Session {
  const session = new Session(names, configuration, { loaded });
  session.pass(6000);
  return session;
}

async function expectGolden(session: Session, name: string): Promise<void> {
  await expect(session.text).toMatchFileSnapshot(`../golden/groups/${name}.txt`);
}

describe('sessions of failures', () => {
  it('replaces a member that died', async () => {
    // Symptom: a group of which one host is gone. Sequence: the process dies, its connections close, a loaded spare is idle.
    // Expected: no attempt is admitted from the close on; the group serves again with the spare.
    const session = start();
    session.kill('bole-2');
    session.attempt('bole-1');
    session.pass(10_000);
    await expectGolden(session, 'death');
  });

  it('bounds a silent loss by the lease', async () => {
    // Symptom: a host that neither answers nor closes. Sequence: it loses its power. Expected: the group stops admitting when the
    // lease runs out, before any new group gets the host.
    const session = start();
    session.darken('bole-2');
    session.pass(10_000);
    await expectGolden(session, 'power-loss');
  });

  it('outlasts a member that is frozen and returns', async () => {
    // Symptom: a member pauses and comes back as if nothing had happened. Sequence: SIGSTOP, a spare takes its place, SIGCONT.
    // Expected: the returned member serves in no group until it is placed again.
    const session = start();
    session.freeze('bole-2');
    session.pass(12_000);
    session.thaw('bole-2');
    session.pass(6000);
    await expectGolden(session, 'freeze-member');
  });

  it('refuses attempts at a lead that was frozen and returns', async () => {
    // Symptom: a paused lead goes on with leases that ran out while it stood still. Sequence: SIGSTOP of the lead, its members join a
    // new placement, SIGCONT with an attempt waiting. Expected: the first reading of the clock refuses it.
    const session = start();
    session.freeze('bole-1');
    session.pass(12_000);
    session.thaw('bole-1');
    session.pass(6000);
    await expectGolden(session, 'freeze-lead');
  });

  it('lets a member that restarted within a lease wait before it grants again', async () => {
    // Symptom: a host in two groups after a quick restart. Sequence: a member restarts within its lease and has forgotten it.
    // Expected: it grants nothing for one longest lease.
    const session = new Session(four.slice(0, 3), configuration, { loaded: artifact });
    session.pass(6000);
    session.kill('bole-3');
    session.pass(300);
    session.start('bole-3');
    session.pass(6000);
    await expectGolden(session, 'restart-within-lease');
  });

  it('places the group of a lead that restarted anew', async () => {
    // Symptom: attempts for an earlier start of the lead. Sequence: the lead restarts. Expected: a placement that names its new start.
    const session = new Session(four.slice(0, 3), configuration, { loaded: artifact });
    session.pass(6000);
    session.kill('bole-1');
    session.pass(300);
    session.start('bole-1');
    session.pass(6000);
    await expectGolden(session, 'restart-lead');
  });

  it('serves on while control is cut off from everybody', async () => {
    // Symptom: a cut of control becomes an outage of serving. Sequence: control hears no host for half a minute.
    // Expected: control suspects itself, changes nothing, and the groups serve throughout.
    const session = start(twelve);
    twelve.forEach((name) => {
      session.cut(name, 'control');
    });
    session.pass(30_000);
    twelve.forEach((name) => {
      session.mend(name, 'control');
    });
    session.pass(5000);
    ['bole-1', 'kality-1', 'merkato-1'].forEach((name) => {
      session.attempt(name);
    });
    await expectGolden(session, 'control-cut-off');
  });

  it('serves on when only the lead of a group is cut off from control', async () => {
    // Symptom: a group that serves is dissolved. Sequence: control loses sight of its lead only. Expected: the members follow the newer
    // placement, the old lead stops at once, no attempt is admitted by both.
    const session = start();
    session.cut('bole-1', 'control');
    session.pass(12_000);
    session.attempt('bole-1');
    session.mend('bole-1', 'control');
    session.pass(5000);
    await expectGolden(session, 'lead-cut-off-from-control');
  });

  it('replaces a member that the lead cannot reach though control can', async () => {
    // Symptom: a group down for good with all its members well. Sequence: a cut between two members that control does not see.
    // Expected: after a while the member is exchanged for a spare.
    const session = start();
    session.cut('bole-1', 'bole-3');
    session.pass(20_000);
    await expectGolden(session, 'cut-between-members');
  });

  it('stands clocks that drift apart within the stated bound', async () => {
    // Symptom: a lead with a slow clock counts a lease longer than the member with a fast one. Sequence: the two are cut off from each
    // other; the member joins a new placement. Expected: the old group has stopped before the new one serves.
    const rates = { 'bole-1': 0.9901, 'bole-2': 1.0099, 'bole-3': 1.0099 };
    const session = new Session(four, configuration, { loaded: artifact, rates });
    session.pass(6000);
    ['bole-2', 'bole-3', 'control'].forEach((name) => {
      session.cut('bole-1', name);
    });
    session.pass(9000);
    session.attempt('bole-1');
    await expectGolden(session, 'clock-drift');
  });

  it('repairs a second loss right after a repair', async () => {
    const session = start([...four, 'bole-5']);
    session.kill('bole-2');
    session.pass(1000);
    session.kill('bole-4');
    session.pass(8000);
    await expectGolden(session, 'second-loss');
  });

  it('takes a dark fabric domain as lost and serves on in the others', async () => {
    const session = start(twelve);
    ['bole-1', 'bole-2', 'bole-3', 'bole-4'].forEach((name) => {
      session.darken(name);
    });
    session.pass(30_000);
    ['bole-1', 'bole-2', 'bole-3', 'bole-4'].forEach((name) => {
      session.start(name);
    });
    session.pass(8000);
    await expectGolden(session, 'dark-domain');
  });

  it('drains the whole group when one member is to stop, and forms it again without that member', async () => {
    const session = start();
    session.setRunning('bole-1', 2);
    session.drain('bole-3');
    session.attempt('bole-1');
    session.pass(5000);
    session.setRunning('bole-1', 0);
    session.pass(6000);
    await expectGolden(session, 'planned-stop');
  });

  it('changes the version group by group', async () => {
    const session = start(twelve);
    session.note('version 2 is declared');
    const newer = { ...artifact, version: '2' };
    session.configure(
      configure([declare({ replicaSize: 3, carries: newer })], { groupDowntimeWeight: 10 }),
    );
    session.pass(70_000);
    await expectGolden(session, 'new-version');
  });
});
