// Guards against groups that stay incomplete because no spare engine of their fabric domain has the weights.
import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { createEngineProfile } from '../routing/documents.js';
import { EngineSimulation } from './engine-simulation.js';
import { createGroupView, createMembers, planGroups, type TestEngine } from './fixtures.js';

const domains = ['d0', 'd1', 'd2'];
/** A fabric domain of 27 engines has room for a group of 12, two of 6 and three spares. */
const profile = createEngineProfile({ slots: 34, loadsPerSecond: 3, groupSizes: [12, 6] });

/** Groups are exchanged between the models once the demand is known. */
const settlingTime = 6000;
/** Staged weights, closing the broken group, opening the new one, and the reports of each step. */
const replacementTime = 1600 + 300 + 1100;

function createWorld(seed: number): EngineSimulation {
  return new EngineSimulation({
    random: createRandomSource(seed),
    hostCount: 81,
    domainSize: 27,
    lateOrderShare: 0,
    profile,
    demand: new Map([
      ['large', 60],
      ['small', 125],
    ]),
  });
}

function countServing(world: EngineSimulation): number {
  return world.openGroups.reduce((sum, { members }) => sum + members.length, 0);
}

/** Open groups of a model, each with its engines. */
function createGroups(model: string, groupSize: number, first: number) {
  return [0, 1, 2, 3].map((index) => {
    const name = `${model}/${first + index}`;
    const hosts = Array.from({ length: groupSize }, (_, member) => `${name}/${member}`);
    const view = createGroupView(name, hosts);
    return { view, engines: createMembers(view, 'd0') };
  });
}

describe('spare engines of a fabric domain', () => {
  it.each([1, 2, 3, 4])(
    'replace a lost member of a group of either model at once, seed %d',
    (seed) => {
      const random = createRandomSource(seed);
      const world = createWorld(seed);
      world.run(12_000);
      world.hasTraffic = true;
      world.run(settlingTime);
      const before = countServing(world);
      for (const domain of domains) {
        const heads = world.openGroups.map(({ members }) => members.map(({ host }) => host));
        const victims = world.hosts.filter(
          (host) => host.domain === domain && heads.some((members) => members.includes(host.name)),
        );
        const victim = victims[random.integerBelow(victims.length)];
        if (victim !== undefined) {
          world.killEngine(victim);
        }
        world.run(replacementTime);
        expect(countServing(world)).toBeGreaterThanOrEqual(before);
      }
      expect(world.violations).toEqual([]);
    },
  );

  it.each([1, 2, 3])('hold both models before the first request, seed %d', (seed) => {
    const world = createWorld(seed);
    world.run(12_000);
    expect(countServing(world)).toBe(72);
    const members = new Set(
      world.openGroups.flatMap((group) => group.members.map(({ host }) => host)),
    );
    const spares = world.hosts.filter(({ name }) => !members.has(name));
    const held = spares.map(({ engine: { lastModel, staged } }) => {
      return new Set([...staged, ...(lastModel === undefined ? [] : [lastModel])]).size;
    });
    expect(held).toEqual(Array.from({ length: 9 }, () => 2));
    expect(world.violations).toEqual([]);
  });

  // Guards against a group that stays incomplete because the only spares left in its domain hold the other model.
  it.each(['large', 'small'])(
    'replace lost members of the %s model one after the other',
    (model) => {
      const world = createWorld(1);
      world.run(12_000);
      world.hasTraffic = true;
      world.run(settlingTime);
      const before = countServing(world);
      for (let loss = 0; loss < 3; loss += 1) {
        const group = world.openGroups.find((each) => {
          const head = world.hosts.find(({ name }) => name === each.members[0]?.host);
          return each.model === model && head?.domain === 'd0';
        });
        const victim = world.hosts.find(({ name }) => name === group?.members[1]?.host);
        if (victim === undefined) {
          throw new Error(`no group of the ${model} model`);
        }
        world.killEngine(victim);
        world.run(replacementTime);
        expect(countServing(world)).toBe(before);
      }
    },
  );

  it('hold the weights of the models that most members of groups serve', () => {
    const groups = [...createGroups('large', 4, 1), ...createGroups('small', 2, 5)];
    const spares = ['s0', 's1', 's2'].map((host): TestEngine => {
      return { host, lastModel: 'none', staged: 'none' };
    });
    const demand = new Map([
      ['large', 40],
      ['small', 40],
    ]);
    const { stage } = planGroups(
      groups.map(({ view }) => view),
      [...groups.flatMap(({ engines }) => engines), ...spares],
      demand,
      { loadsAllowed: 6 },
    );
    const models = stage
      .filter(({ host }) => host.startsWith('s') && !host.includes('/'))
      .map(({ model }) => model);
    expect(models.toSorted()).toEqual(['large', 'large', 'small']);
  });

  // Guards against survivors of a group that stand by beside a spare of their model while the other groups of the model fill up.
  it('form a group with the survivors of another, also where groups are large', () => {
    const groups = [
      ...createGroups('large', 12, 1).slice(0, 3),
      ...createGroups('small', 6, 5),
      ...createGroups('small', 6, 9).slice(0, 1),
    ];
    const idle = Array.from({ length: 6 }, (_, index): TestEngine => {
      return { host: `s${index}`, domain: 'd1', lastModel: 'small', staged: 'large' };
    });
    const { place } = planGroups(
      groups.map(({ view }) => view),
      [...groups.flatMap(({ engines }) => engines), ...idle],
      new Map([
        ['large', 12],
        ['small', 72],
      ]),
      { services: [{ name: 'engines', maximumConnections: 400, engine: profile }] },
    );
    expect(place.map(({ model }) => model)).toEqual(['small']);
  });
});
