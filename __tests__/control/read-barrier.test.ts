import { Err, Ok, type Result } from 'ts-results';
import { describe, expect, it } from 'vitest';

import { createFailure, type Failure } from '../../src/common/index.js';
import type { LeadershipView } from '../../src/consensus/index.js';
import { ReadBarrier } from '../../src/control/routing/index.js';

/** A control host whose clock advances with each look at its log. */
class TestHost {
  view: LeadershipView = { type: 'follower', term: 1, leader: 'c-2' };
  applied = 5;
  /** Time at which this host has caught up with its leader. */
  caughtUpAt = 0;
  confirmed: Result<number, Failure> = new Ok(5);
  asked: string[] = [];
  #now = 0;

  pass(): Promise<boolean> {
    const barrier = new ReadBarrier({
      log: {
        view: () => this.view,
        confirmRead: () => Promise.resolve(this.confirmed),
        appliedIndex: () => {
          this.#now += 100;
          return this.#now >= this.caughtUpAt ? this.applied : 0;
        },
      },
      clock: { monotonic: () => this.#now, wall: () => this.#now },
      confirmAtLeader: (leader) => {
        this.asked.push(leader);
        return Promise.resolve(this.confirmed);
      },
    });
    return barrier.pass();
  }
}

// Guards against a starting gateway that is told that its state is current while an acknowledged change is missing in it.
describe('the barrier before the first state of a gateway', () => {
  it('is passed at once by a host that has applied what its leader confirms', async () => {
    const host = new TestHost();
    expect(await host.pass()).toBe(true);
    expect(host.asked).toEqual(['c-2']);
  });

  it('is passed by a host that catches up with its leader', async () => {
    const host = new TestHost();
    host.caughtUpAt = 300;
    expect(await host.pass()).toBe(true);
  });

  it('is not passed by a host that stays behind its leader', async () => {
    const host = new TestHost();
    host.confirmed = new Ok(6);
    expect(await host.pass()).toBe(false);
  });

  it('is not passed while there is no leader, or none that a quorum confirms', async () => {
    const leaderless = new TestHost();
    leaderless.view = { type: 'leaderless', term: 1 };
    expect(await leaderless.pass()).toBe(false);
    const refused = new TestHost();
    refused.confirmed = new Err(createFailure('notFresh', 'the leader is gone'));
    expect(await refused.pass()).toBe(false);
    refused.view = { type: 'leader', term: 1 };
    expect(await refused.pass()).toBe(false);
  });

  it('needs no other host at the leader', async () => {
    const leader = new TestHost();
    leader.view = { type: 'leader', term: 1 };
    expect(await leader.pass()).toBe(true);
    expect(leader.asked).toEqual([]);
  });
});
