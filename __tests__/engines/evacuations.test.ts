import { describe, expect, it } from 'vitest';

import type { EnginePhase } from '../../src/routing/index.js';
import { createGroupView, createMembers, planGroups, type TestEngine } from './fixtures.js';

/** Two groups of the large model and two of the small one serve what callers ask for. */
const demand = new Map([
  ['large', 30],
  ['small', 30],
]);
const latestDrain = 2000;

function createGroup(name: string, domain: string, phase: EnginePhase = 'open') {
  const size = name.startsWith('large') ? 4 : 2;
  const hosts = Array.from({ length: size }, (_, index) => `${domain}-${name}-${index}`);
  const view = createGroupView(name, hosts, phase);
  return { view, engines: createMembers(view, domain) };
}

function createIdle(domain: string, model: string, count: number): readonly TestEngine[] {
  const staged = model === 'large' ? 'small' : 'large';
  return Array.from({ length: count }, (_, index) => {
    return { host: `${domain}-idle-${model}-${index}`, domain, lastModel: model, staged };
  });
}

/** A plan in which `d0` has been evacuated for the given time. */
function plan(
  groups: readonly ReturnType<typeof createGroup>[],
  idle: readonly TestEngine[],
  age = 100,
  changes: Parameters<typeof planGroups>[3] = {},
) {
  return planGroups(
    groups.map(({ view }) => view),
    [...groups.flatMap(({ engines }) => engines), ...idle],
    changes.demand ?? demand,
    { evacuations: new Map([['d0', age]]), loadsAllowed: 6, ...changes },
  );
}

const smallElsewhere = [3, 4, 5].map((number) => createGroup(`small/${number}`, 'd2'));
const largeHere = createGroup('large/1', 'd0');
const largeThere = createGroup('large/2', 'd1');

describe('an evacuated failure domain', () => {
  // Guards against a model without replacements because the groups that are about to be drained still count as its capacity.
  it('holds no capacity, so replacements are formed elsewhere before its groups drain', () => {
    const idle = createIdle('d1', 'large', 4);
    const here = [6, 7, 8].map((number) => createGroup(`large/${number}`, 'd0'));
    const { place, advance } = plan([...here, largeThere, ...smallElsewhere], idle);
    expect(place.map(({ model }) => model)).toEqual(['large']);
    expect(place[0]?.members.every(({ host }) => host.startsWith('d1-idle'))).toBe(true);
    expect(advance).toEqual([]);
  });

  // Guards against replacements that are not formed because all engines elsewhere are in groups that another model can spare.
  it('is replaced with engines of a model that has more groups than it needs', () => {
    const small = [3, 4, 5, 6, 7, 8].map((number) => createGroup(`small/${number}`, 'd2'));
    const here = [9, 10, 11].map((number) => createGroup(`large/${number}`, 'd0'));
    const { advance } = plan([...here, largeThere, ...small], []);
    expect(advance.map(({ reason }) => reason)).toEqual([
      'its engines are needed for large',
      'its engines are needed for large',
    ]);
  });

  // Guards against callers that are sent to the domain for 2 s although groups elsewhere could serve them.
  it('is drained once groups elsewhere serve the demand', () => {
    const others = [largeThere, createGroup('large/6', 'd1')];
    const { advance } = plan([largeHere, ...others, ...smallElsewhere], []);
    expect(advance).toMatchObject([{ name: 'large/1', phase: 'draining' }]);
  });

  // Guards against callers without a group while the replacements load: groups that still join count as capacity, but do not serve.
  it('is not drained while the groups that replace it join', () => {
    const joining = createGroup('large/6', 'd1', 'joining');
    const { advance } = plan([largeHere, largeThere, joining, ...smallElsewhere], []);
    expect(advance.filter(({ phase }) => phase === 'draining')).toEqual([]);
  });

  it('is drained when nothing more can be formed elsewhere', () => {
    const { advance } = plan([largeHere, largeThere, ...smallElsewhere], []);
    expect(advance).toMatchObject([{ name: 'large/1', phase: 'draining' }]);
  });

  // Guards against requests in an evacuated domain after the 5 s in which it has to be left.
  it('is drained after 2 s, also if the demand is unknown and groups elsewhere still join', () => {
    const joining = createGroup('large/6', 'd1', 'joining');
    const groups = [largeHere, largeThere, joining, ...smallElsewhere];
    const changes = { demand: new Map<string, number>() };
    expect(plan(groups, [], latestDrain - 1, changes).advance).toEqual([]);
    expect(plan(groups, [], latestDrain, changes).advance).toMatchObject([
      { name: 'large/1', phase: 'draining' },
    ]);
  });

  // Guards against a new leader that has no reports of engines yet and takes that for "nothing more can be formed".
  it('is not drained early while the demand is unknown', () => {
    const changes = { demand: new Map<string, number>(), engines: new Map() };
    expect(plan([largeHere, largeThere], [], 100, changes).advance).toEqual([]);
  });

  // Guards against a new leader that keeps an evacuated group because the engines that would name its domain have not reported.
  it('is drained without a report of its engines if the members name their domain', () => {
    const { view } = largeHere;
    const members = view.group.members.map((member) => ({ ...member, failureDomain: 'd0' }));
    const named = { view: { ...view, group: { ...view.group, members } }, engines: [] };
    const changes = { demand: new Map<string, number>(), engines: new Map() };
    expect(plan([named], [], latestDrain, changes).advance).toMatchObject([{ name: 'large/1' }]);
  });

  // Guards against groups that open in an evacuated domain because they were placed just before.
  it.each([
    ['joining', { remove: [{ name: 'large/1' }], advance: [] }],
    ['opening', { remove: [], advance: [{ name: 'large/1', phase: 'closing' }] }],
  ] as const)('gets no group that is still %s', (phase, expected) => {
    expect(plan([createGroup('large/1', 'd0', phase), largeThere], [])).toMatchObject(expected);
  });

  // Guards against groups and weights for a domain that the operator wants empty.
  it('gets no group and no weights', () => {
    const cold = { host: 'd0-cold', domain: 'd0', lastModel: 'none', staged: 'none' };
    const idle = [...createIdle('d0', 'large', 8), cold];
    const { place, stage } = plan([largeThere, ...smallElsewhere], idle);
    expect(place).toEqual([]);
    expect(stage.filter(({ host }) => host.startsWith('d0'))).toEqual([]);
  });

  // Guards against engines that stay idle after the end of an evacuation although callers lack groups.
  it('gets groups at once after the end', () => {
    const idle = createIdle('d0', 'large', 4);
    const changes = { evacuations: new Map() };
    const { place } = plan([largeThere, ...smallElsewhere], idle, 0, changes);
    expect(place.map(({ model }) => model)).toEqual(['large']);
  });

  // Guards against gateways and leaders that do not know which domain a group is in.
  it('is known from the members of a placed group', () => {
    const { place } = plan([largeThere, ...smallElsewhere], createIdle('d1', 'large', 4));
    expect(place[0]?.members.map(({ failureDomain }) => failureDomain)).toEqual([
      'd1',
      'd1',
      'd1',
      'd1',
    ]);
  });
});
