import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import type { EngineView } from '../../src/engines/index.js';
import type { EngineReading } from '../../src/routing/index.js';
import { createEngineView, createGroupView, createMembers, planGroups } from './fixtures.js';
import { EngineWorld } from './world.js';

/** Histories for each run of the tests; more by hand with the variable. */
const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? '20');
const restartsInHistory = 10;

const view = createGroupView('small/1', ['head', 'other']);

/** Advances of a group of two whose other member reports what is said. */
function reviewWith(change: (reading: EngineReading) => EngineReading): readonly string[] {
  const engines = new Map(createMembers(view, 'd0').map(createEngineView));
  const other = engines.get('other');
  if (other?.facts.reading === undefined) {
    throw new Error('the member reports nothing');
  }
  const reading = change(other.facts.reading);
  const changed: EngineView = { ...other, facts: { ...other.facts, reading } };
  engines.set('other', changed);
  const decision = planGroups([view], [], new Map(), { engines });
  return decision.advance.map(({ name, phase }) => `${name} ${phase}`);
}

describe('a group of which a member started again under its id', () => {
  it('is kept while the member is the same', () => {
    expect(reviewWith((reading) => reading)).toEqual([]);
  });

  /**
   * Symptom: the streams of a group stand still for seconds. A member crashed and started again under its id within one
   * question of its sidecar; by its id it was still there, and the head says nothing before it breaks.
   */
  it('is given up by the start that the member names', () => {
    const started = { ...view.group, members: view.group.members.map(nameStart) };
    const engines = new Map(createMembers(view, 'd0').map(createEngineView));
    const groups = [{ group: started, phaseAge: 5000 }];
    const plan = (startedAt: number) => {
      const changed = [...engines].map(([host, engine]): [string, EngineView] => {
        const at = host === 'other' ? startedAt : 1000;
        return [host, nameReading(engine, at)];
      });
      return planGroups(groups, [], new Map(), { engines: new Map(changed) }).advance;
    };
    expect(plan(1000)).toEqual([]);
    expect(plan(2000)).toMatchObject([{ name: 'small/1', phase: 'closing' }]);
  });

  it('is given up when the member is in no group, where no start is named', () => {
    const forget = (reading: EngineReading): EngineReading => {
      const { instance, fabricDomain, staged, isBusy, running, waiting, slowdown } = reading;
      return { instance, fabricDomain, staged, isBusy, running, waiting, slowdown };
    };
    expect(reviewWith(forget)).toEqual(['small/1 closing']);
  });

  it('is replaced within a second and a half, and no engine leaves an open group', () => {
    for (let seed = 1; seed <= histories; seed += 1) {
      const world = playHistory(createRandomSource(seed));
      expect(world.violations, `seed ${seed}`).toEqual([]);
      expect(world.openGroups.length, `seed ${seed}`).toBeGreaterThan(5);
    }
  });
});

function nameStart<Member extends { readonly instance: { readonly id: string } }>(member: Member) {
  return { ...member, instance: { id: member.instance.id, startedAt: 1000 } };
}

function nameReading(engine: EngineView, startedAt: number): EngineView {
  const { reading } = engine.facts;
  if (reading === undefined) {
    return engine;
  }
  const instance = { id: reading.instance.id, startedAt };
  return { ...engine, facts: { ...engine.facts, reading: { ...reading, instance } } };
}

/** Members of open groups start again under their ids, by turns beside a restarted sidecar or another leader. */
function playHistory(random: RandomSource): EngineWorld {
  const world = new EngineWorld({ random, hostCount: 20, domainSize: 10, lateOrders: 0.1 });
  world.run(6000);
  for (let restart = 0; restart < restartsInHistory; restart += 1) {
    const serving = new Set(world.openGroups.flatMap(({ members }) => members.map((m) => m.host)));
    const hosts = world.hosts.filter(({ name }) => serving.has(name));
    const host = hosts[random.integerBelow(hosts.length)];
    if (host === undefined) {
      continue;
    }
    const held = world.openGroups.find(({ members }) => members.some((m) => m.host === host.name));
    world.restartEngineUnderItsId(host);
    if (random.integerBelow(4) === 0) {
      world.restartSidecar(host);
    }
    if (random.integerBelow(4) === 0) {
      world.changeLeader();
    }
    world.run(1500);
    expect(world.openGroups.map(({ name }) => name)).not.toContain(held?.name);
  }
  world.run(10_000);
  return world;
}
