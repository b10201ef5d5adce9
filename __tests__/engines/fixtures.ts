import type {
  EngineDecision,
  EngineView,
  GroupView,
  PlannerInput,
} from '../../src/engines/index.js';
import { planEngineGroups } from '../../src/engines/index.js';
import { InstanceSet, type EngineGroup, type EnginePhase } from '../../src/routing/index.js';
import { createDocument } from '../routing/documents.js';

/** Fixtures for the planner's view of engines and groups. */

/** An engine with the state that its sidecar reports. */
export interface TestEngine {
  readonly host: string;
  readonly domain?: string;
  /** The same as the fabric domain if absent. */
  readonly failureDomain?: string;
  readonly lastModel: string;
  readonly staged: string;
  readonly slowdown?: number;
  /** The group that it is a member of. */
  readonly group?: EngineGroup;
}

export function createEngineView(engine: TestEngine): [string, EngineView] {
  const { host, domain = 'd0', lastModel, staged, slowdown = 1, group } = engine;
  const { failureDomain = domain } = engine;
  const reading = {
    instance: { id: `i-${host}` },
    fabricDomain: domain,
    staged: [staged],
    ...(group === undefined ? {} : { membership: describeMembership(host, group) }),
    isBusy: false,
    running: 1,
    waiting: 0,
    slowdown,
  };
  const facts = {
    failureDomain,
    address: '10.0.0.1:1',
    service: 'engines',
    reading,
    lastModel,
  };
  return [host, { host, facts, reportAge: 0 }];
}

function describeMembership(host: string, { name, fencingNumber, members }: EngineGroup) {
  const isHead = members[0]?.host === host;
  return { group: name, fencingNumber, state: isHead ? ('open' as const) : ('ready' as const) };
}

/** A group of the given hosts. */
export function createGroupView(
  name: string,
  hosts: readonly string[],
  phase: EnginePhase = 'open',
  phaseAge = 5000,
): GroupView {
  const [model = '', number = ''] = name.split('/');
  const members = hosts.map((host) => ({
    host,
    instance: { id: `i-${host}` },
    address: '10.0.0.1:1',
  }));
  const group: EngineGroup = {
    name,
    service: 'engines',
    model,
    members,
    phase,
    fencingNumber: Number(number),
  };
  return { group, phaseAge };
}

/** Engines of an open group. They were ready with its model, and their hosts have staged the other model. */
export function createMembers(view: GroupView, domain: string): readonly TestEngine[] {
  const { group } = view;
  const { model, members } = group;
  const staged = model === 'large' ? 'small' : 'large';
  return members.map(({ host }) => ({ host, domain, lastModel: model, staged, group }));
}

/** Plans with traffic, after settling, with no engine shutting down. */
export function planGroups(
  groups: readonly GroupView[],
  engines: readonly TestEngine[],
  demand: ReadonlyMap<string, number>,
  changes: Partial<PlannerInput> = {},
): EngineDecision {
  return planEngineGroups({
    services: createDocument().services,
    groups,
    engines: new Map(engines.map(createEngineView)),
    leaving: new InstanceSet(),
    hasTraffic: true,
    isSettling: false,
    loadsAllowed: 0,
    pendingStaging: new Map(),
    evacuations: new Map(),
    demand,
    nextNumber: 100,
    ...changes,
  });
}
