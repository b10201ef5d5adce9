import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { EngineWorld } from './world.js';

/** Histories for each run of the tests; more by hand with the variable. */
const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '20');
const restartsInHistory = 10;
/** A sidecar that has just started gets the first answer within a few hundred milliseconds. */
const longestAnswer = 300;

/**
 * An engine was joined to a second group while the head of its first one still served, and so was the head itself. The sidecar beside that
 * head had just started again. It knew who leads control before it had asked its engine for the first time, so its first report named no
 * engine. The leader took that for the end of the engine: it closed the group, and when it looked at the same report once more it took the
 * head for gone and gave its engines to another group. The reports that the leader logs with such a step settled it:
 *
 *     9.164 sidecar  leader of control changed
 *     9.172 control  small/5 closing, a member was lost
 *     9.174 sidecar  engine instance changed, membership changed: small/5 open
 *     9.183 control  small/5 removed, the head is gone; both engines placed in small/17
 *     9.045 control  closing, a member was lost: "reports":["side-10: small/5 open, 841 ms ago","side-7: notAsked, 0 ms ago"]
 */
describe('a sidecar that starts again beside an engine that serves, and reports before it was answered', () => {
  it('leaves the group of the engine as it is', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const random = createRandomSource(seed);
      const world = new EngineWorld({ random, hostCount: 20, domainSize: 10, lateOrders: 0 });
      world.run(6000);
      const before = world.openGroups.map(({ name }) => name);
      for (let restart = 0; restart < restartsInHistory; restart += 1) {
        const host = world.hosts[random.integerBelow(world.hosts.length)];
        if (host !== undefined) {
          world.restartSidecarThatReportsFirst(host, random.integerBelow(longestAnswer));
        }
        world.run(500);
      }
      const after = world.openGroups.map(({ name }) => name);
      expect({ seed, violations: world.violations }).toEqual({ seed, violations: [] });
      expect({ seed, after }).toEqual({ seed, after: before });
    }
  });
});
