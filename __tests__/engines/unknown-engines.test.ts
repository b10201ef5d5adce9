import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import type { EngineView } from '../../src/engines/index.js';
import { InstanceSet, type EngineAbsence, type EnginePhase } from '../../src/routing/index.js';
import { createEngineView, createGroupView, createMembers, planGroups } from './fixtures.js';
import { EngineSimulation } from './engine-simulation.js';

/** Number of random histories per test; the environment variable sets a larger number for manual runs. */
const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '20');
const restartsPerHistory = 10;
/** A sidecar that has just started gets its first answer within a few hundred milliseconds. */
const maximumAnswerDelay = 300;
const faultsPerHistory = 20;

/**
 * Guards against this failure: a head and another engine of its group join a second group while the head still serves the first. The
 * sidecar of the head had just restarted and knew the leader of control before it had queried its engine, so its first report had no
 * reading (`notAsked`). The leader took that for the end of the engine: it closed the group, then evaluated the same report again, took
 * the head for gone, and placed the engines in another group 11 ms after the group began to close.
 */
describe('a sidecar that restarts next to a serving engine and reports before the engine has answered', () => {
  it('does not affect the group of the engine', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const random = createRandomSource(seed);
      const simulation = new EngineSimulation({
        random,
        hostCount: 20,
        domainSize: 10,
        lateOrderShare: 0,
      });
      simulation.run(6000);
      const before = simulation.openGroups.map(({ name }) => name);
      for (let restart = 0; restart < restartsPerHistory; restart += 1) {
        const host = simulation.hosts[random.integerBelow(simulation.hosts.length)];
        if (host !== undefined) {
          simulation.restartSidecarThatReportsFirst(host, random.integerBelow(maximumAnswerDelay));
        }
        simulation.run(500);
      }
      const after = simulation.openGroups.map(({ name }) => name);
      expect({ seed, violations: simulation.violations }).toEqual({ seed, violations: [] });
      expect({ seed, after }).toEqual({ seed, after: before });
    }
  });
});

/** An engine without a reading; its sidecar reports the reason. */
function createAbsentView(host: string, absence: EngineAbsence): [string, EngineView] {
  const [, { facts }] = createEngineView({ host, lastModel: 'small', staged: 'large' });
  const { failureDomain, address, service } = facts;
  return [host, { host, facts: { failureDomain, address, service, absence }, reportAge: 0 }];
}

interface AbsentMember {
  readonly host: 'head' | 'other';
  readonly phase: EnginePhase;
  readonly phaseAge?: number;
  readonly isLeaving?: boolean;
}

/** Planned changes for a group of two with one member that has no reading. */
function planWithAbsentMember(absence: EngineAbsence, member: AbsentMember): readonly string[] {
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
 * Guards against this failure: the leader did not distinguish an engine about which nothing is known from one that has ended, and freed
 * the members of a closing group. The same report came after a sidecar restart, an unanswered query, and a liveness check that waited
 * for a slot of a full engine.
 */
describe('a member without a reading', () => {
  const unknown: readonly EngineAbsence[] = ['notAsked', 'notIdentified', 'unanswered'];
  const phases: readonly EnginePhase[] = ['joining', 'opening', 'open', 'draining', 'closing'];

  it.each(unknown)('changes nothing in any phase while its sidecar reports %s', (absence) => {
    for (const phase of phases) {
      expect(planWithAbsentMember(absence, { host: 'head', phase })).toEqual([]);
      expect(planWithAbsentMember(absence, { host: 'other', phase }).join()).not.toContain(
        'removed',
      );
    }
    expect(planWithAbsentMember(absence, { host: 'other', phase: 'open' })).toEqual([]);
  });

  it.each<EngineAbsence>(['silent', 'unreadable'])(
    'closes its group while it is %s, and frees nobody',
    (absence) => {
      const step = ['closing: a member does not answer'];
      expect(planWithAbsentMember(absence, { host: 'head', phase: 'open' })).toEqual(step);
      expect(planWithAbsentMember(absence, { host: 'other', phase: 'open' })).toEqual(step);
      expect(planWithAbsentMember(absence, { host: 'head', phase: 'closing' })).toEqual([]);
    },
  );

  it('is lost if nothing listens at its address', () => {
    expect(planWithAbsentMember('refused', { host: 'other', phase: 'open' })).toEqual([
      'closing: a member was lost',
    ]);
    expect(planWithAbsentMember('refused', { host: 'head', phase: 'closing' })).toEqual([
      'removed: the head has ended',
    ]);
  });

  /** A head that is shutting down stops listening before it has finished its last requests, and serves its group until then. */
  it('may still serve for some seconds after refusing a connection if it is shutting down', () => {
    const head = { host: 'head', phase: 'closing', isLeaving: true } as const;
    expect(planWithAbsentMember('refused', { ...head, phaseAge: 10_000 })).toEqual([]);
    expect(planWithAbsentMember('refused', { ...head, phaseAge: 10_001 })).toEqual([
      'removed: the head has ended',
    ]);
  });
});

/** Makes an engine hang or unidentifiable, restarts its sidecar so that it reports first, restarts an engine, or changes the leader. */
function injectFault(simulation: EngineSimulation, random: RandomSource): void {
  const host = simulation.hosts[random.integerBelow(simulation.hosts.length)];
  if (host === undefined) {
    return;
  }
  switch (random.integerBelow(7)) {
    case 0:
    case 1:
      simulation.restartSidecarThatReportsFirst(host, random.integerBelow(3 * maximumAnswerDelay));
      return;
    case 2:
    case 3:
      host.readResult = host.readResult === 'read' ? 'unanswered' : 'read';
      return;
    case 4:
      host.readResult = host.readResult === 'read' ? 'notIdentified' : 'read';
      return;
    case 5:
      simulation.restartEngine(host);
      return;
    default:
      simulation.changeLeader();
  }
}

describe('groups of engines whose readings are missing at times', () => {
  it('are never split, and serve again once the engines answer', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const random = createRandomSource(seed);
      const simulation = new EngineSimulation({
        random,
        hostCount: 20,
        domainSize: 10,
        lateOrderShare: 0.1,
      });
      simulation.run(6000);
      for (let fault = 0; fault < faultsPerHistory; fault += 1) {
        injectFault(simulation, random);
        simulation.run(100 + random.integerBelow(1500));
      }
      simulation.hosts.forEach((host) => {
        host.readResult = 'read';
      });
      simulation.run(10_000);
      expect({ seed, violations: simulation.violations }).toEqual({ seed, violations: [] });
      expect({ seed, isServing: simulation.openGroups.length > 5 }).toEqual({
        seed,
        isServing: true,
      });
    }
  });
});
