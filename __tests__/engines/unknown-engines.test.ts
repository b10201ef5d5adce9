import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import type { EngineView } from '../../src/engines/index.js';
import { InstanceSet, type EngineAbsence, type EnginePhase } from '../../src/routing/index.js';
import { createEngineView, createGroupView, createMembers, planGroups } from './fixtures.js';
import { EngineWorld } from './world.js';

/** Histories for each run of the tests; more by hand with the variable. */
const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '20');
const restartsInHistory = 10;
/** A sidecar that has just started gets the first answer within a few hundred milliseconds. */
const longestAnswer = 300;
const faultsInHistory = 20;

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

/** An engine whose sidecar reports why it knows nothing of it. */
function createAbsentView(host: string, absence: EngineAbsence): [string, EngineView] {
  const [, { facts }] = createEngineView({ host, lastModel: 'small', staged: 'large' });
  const { failureDomain, address, service } = facts;
  return [host, { host, facts: { failureDomain, address, service, absence }, silence: 0 }];
}

interface AbsentMember {
  readonly host: 'head' | 'other';
  readonly phase: EnginePhase;
  readonly phaseAge?: number;
  readonly isLeaving?: boolean;
}

/** Steps for a group of two of which one member is absent. */
function planBeside(absence: EngineAbsence, member: AbsentMember): readonly string[] {
  const { host, phase, phaseAge = 1000, isLeaving = false } = member;
  const view = createGroupView('small/1', ['head', 'other'], phase, phaseAge);
  const engines = new Map(createMembers(view, 'd0').map(createEngineView));
  engines.set(...createAbsentView(host, absence));
  const leaving = new InstanceSet(isLeaving ? [{ id: `i-${host}` }] : []);
  const decision = planGroups([view], [], new Map(), { engines, leaving });
  return [
    ...decision.advance.map((step) => `${step.phase}: ${step.reason}`),
    ...decision.remove.map(({ reason }) => `removed: ${reason}`),
  ];
}

/**
 * The leader had one word for an engine of which nothing was known and for one that had ended. The same report frees the members of a closing
 * group after a restart of a sidecar, a question that got no answer, and a liveness check that waited for a slot of a full engine.
 */
describe('a member of which nothing is known', () => {
  const unknown: readonly EngineAbsence[] = ['notAsked', 'notIdentified', 'unanswered'];
  const phases: readonly EnginePhase[] = ['joining', 'opening', 'open', 'draining', 'closing'];

  it.each(unknown)('changes nothing in any phase while its sidecar reports %s', (absence) => {
    for (const phase of phases) {
      expect(planBeside(absence, { host: 'head', phase })).toEqual([]);
      expect(planBeside(absence, { host: 'other', phase }).join()).not.toContain('removed');
    }
    expect(planBeside(absence, { host: 'other', phase: 'open' })).toEqual([]);
  });

  it.each<EngineAbsence>(['silent', 'unreadable'])(
    'closes its group while it is %s, and frees nobody',
    (absence) => {
      const step = ['closing: a member does not answer'];
      expect(planBeside(absence, { host: 'head', phase: 'open' })).toEqual(step);
      expect(planBeside(absence, { host: 'other', phase: 'open' })).toEqual(step);
      expect(planBeside(absence, { host: 'head', phase: 'closing' })).toEqual([]);
    },
  );

  it('is gone when nothing listens at its address', () => {
    expect(planBeside('refused', { host: 'other', phase: 'open' })).toEqual([
      'closing: a member was lost',
    ]);
    expect(planBeside('refused', { host: 'head', phase: 'closing' })).toEqual([
      'removed: the head has ended',
    ]);
  });

  /** A head that leaves stops listening before it has ended its last work, and serves its group until then. */
  it('may still work for some seconds after it refused a connection when it leaves', () => {
    const head = { host: 'head', phase: 'closing', isLeaving: true } as const;
    expect(planBeside('refused', { ...head, phaseAge: 10_000 })).toEqual([]);
    expect(planBeside('refused', { ...head, phaseAge: 10_001 })).toEqual([
      'removed: the head has ended',
    ]);
  });
});

/** Engines hang, cannot be identified, or get a new sidecar that reports first, beside the losses of other engines. */
function strike(world: EngineWorld, random: RandomSource): void {
  const host = world.hosts[random.integerBelow(world.hosts.length)];
  if (host === undefined) {
    return;
  }
  switch (random.integerBelow(7)) {
    case 0:
    case 1:
      world.restartSidecarThatReportsFirst(host, random.integerBelow(3 * longestAnswer));
      return;
    case 2:
    case 3:
      host.answers = host.answers === 'read' ? 'unanswered' : 'read';
      return;
    case 4:
      host.answers = host.answers === 'read' ? 'notIdentified' : 'read';
      return;
    case 5:
      world.restartEngine(host);
      return;
    default:
      world.changeLeader();
  }
}

describe('groups of engines of which nothing is known at times', () => {
  it('are never split, and serve again once the engines answer', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const random = createRandomSource(seed);
      const world = new EngineWorld({ random, hostCount: 20, domainSize: 10, lateOrders: 0.1 });
      world.run(6000);
      for (let fault = 0; fault < faultsInHistory; fault += 1) {
        strike(world, random);
        world.run(100 + random.integerBelow(1500));
      }
      world.hosts.forEach((host) => {
        host.answers = 'read';
      });
      world.run(10_000);
      expect({ seed, violations: world.violations }).toEqual({ seed, violations: [] });
      expect({ seed, isServing: world.openGroups.length > 5 }).toEqual({ seed, isServing: true });
    }
  });
});
