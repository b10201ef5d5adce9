import { describe, expect, it } from 'vitest';

import { SimulatedCluster } from './simulation/simulated-cluster.js';
import type { SimulatedHost } from './simulation/simulated-host.js';
import { Transcript } from './simulation/transcript.js';

/** A simulated cluster with a transcript, and the operations that the sessions use. */
class Session {
  readonly #transcript = new Transcript();
  readonly cluster = new SimulatedCluster(
    { size: 3, seed: 11, mutation: 'none' },
    this.#transcript,
  );

  get text(): string {
    return this.#transcript.text;
  }

  get leader(): SimulatedHost {
    if (this.cluster.leader === undefined) {
      throw new Error('no leader');
    }
    return this.cluster.leader;
  }

  note(text: string): void {
    this.#transcript.note(text);
  }

  run(text: string, milliseconds: number): void {
    this.note(text);
    this.cluster.run(milliseconds);
  }

  change(count = 1): void {
    for (let changes = 0; changes < count; changes += 1) {
      this.cluster.propose(this.leader);
      this.cluster.run(125);
    }
  }

  follower(): SimulatedHost {
    const follower = this.cluster.hosts.find((host) => host !== this.leader);
    if (follower === undefined) {
      throw new Error('no follower');
    }
    return follower;
  }
}

async function expectGolden(session: Session, name: string): Promise<void> {
  await expect(session.text).toMatchFileSnapshot(`../golden/consensus-${name}.txt`);
}

describe('golden sessions', () => {
  it('first start, election and a change', async () => {
    const session = new Session();
    session.run('three blank hosts', 2500);
    session.note('a change and a read');
    session.change();
    session.cluster.read(session.leader);
    session.cluster.run(250);
    await expectGolden(session, 'first-start');
  });

  // Guards against a change that is never answered. A partitioned leader accepts a change while the others elect a new
  // leader. Without a quorum the change cannot commit; it is answered as uncertain, and its entry is then overwritten.
  it('leader cut off and back', async () => {
    const session = new Session();
    session.run('first start', 2500);
    const { leader } = session;
    session.note(`${leader.name} is cut off and takes a change`);
    leader.isPartitioned = true;
    session.cluster.propose(leader);
    session.cluster.run(4000);
    session.note('the new leader takes a change');
    session.change();
    session.run(`${leader.name} is back`, 500);
    leader.isPartitioned = false;
    session.cluster.run(2000);
    await expectGolden(session, 'leader-cut-off');
    expect(leader.machine.values).toEqual([2]);
  });

  // Guards against two leaders in one term and the loss of an answered change, when a host returns with an empty disk and
  // votes again: its earlier votes and its log were lost with the disk.
  it('wiped disk comes back', async () => {
    const session = new Session();
    session.run('first start', 2500);
    session.change(2);
    const target = session.follower();
    session.run(`the disk of ${target.name} is lost`, 0);
    session.cluster.wipe(target);
    session.cluster.run(3000);
    await expectGolden(session, 'wiped-disk');
    expect(target.machine.values).toEqual([1, 2]);
    expect(session.leader.core.membership.voters).toContainEqual(target.core.self);
  });

  it('catch-up by snapshot', async () => {
    const session = new Session();
    session.run('first start', 2500);
    const target = session.follower();
    session.note(`${target.name} is down for eight changes and a snapshot`);
    session.cluster.crash(target, 0, false);
    session.change(8);
    session.cluster.takeSnapshot(session.leader);
    session.run(`${target.name} starts again`, 0);
    session.cluster.start(target);
    session.cluster.run(1500);
    await expectGolden(session, 'snapshot-catch-up');
    expect(target.machine.values).toEqual([1, 2, 3, 4, 5, 6, 7, 8]);
  });

  // Guards against a read that returns stale state as fresh. The leader's process is suspended, another leader accepts a
  // change, and the old leader resumes and is asked to read. No time has passed for it, so it still considers itself leader.
  it('frozen leader goes on', async () => {
    const session = new Session();
    session.run('first start', 2500);
    const { leader } = session;
    session.note(`${leader.name} is frozen`);
    leader.condition = 'frozen';
    session.cluster.run(4000);
    session.change();
    session.note(`${leader.name} goes on and is asked at once`);
    leader.condition = 'running';
    session.cluster.read(leader);
    session.cluster.propose(leader);
    session.cluster.run(2000);
    await expectGolden(session, 'frozen-leader');
    expect(leader.machine.values).toEqual([1]);
  });
});
