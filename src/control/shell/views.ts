import { assertNever, type Milliseconds } from '../../common/index.js';
import type { LeadershipView } from '../../consensus/index.js';
import type { HostDirectory, ReportedHost } from '../host-directory.js';
import {
  applyHostOverride,
  drainEvacuated,
  type ConfigurationView,
  type ControlState,
  type ControlView,
  type EvacuationsView,
  type QuarantinesView,
  type GroupsView,
  type GroupView,
  type HostsView,
  type HostView,
  type ViewKind,
  type WatchersView,
  type WatcherView,
} from '../state/index.js';
import { createQuarantinesView } from './quarantines-view.js';
import { createEvacuationsView, type EvacuationSource } from './evacuations-view.js';

/** Builds the answers to `get` requests; free of I/O. */

/** Data from which the answers are built. */
export interface ViewSource extends EvacuationSource {
  readonly name: string;
  readonly state: ControlState;
  readonly directory: HostDirectory;
  readonly watchers: readonly WatcherView[];
  readonly leadership: LeadershipView;
  readonly staleness: Milliseconds;
  readonly voters: ControlView['voters'];
  readonly now: Milliseconds;
  readonly isPresent: (host: ReportedHost, now: Milliseconds) => boolean;
}

/** Answer to a `get` request of some kind. */
export type View =
  | ConfigurationView
  | HostsView
  | GroupsView
  | WatchersView
  | EvacuationsView
  | QuarantinesView
  | ControlView;

export function createView(kind: ViewKind, source: ViewSource): View {
  switch (kind) {
    case 'configuration':
      return createConfigurationView(source.state);
    case 'hosts':
      return createHostsView(source);
    case 'groups':
      return createGroupsView(source);
    case 'watchers':
      return { revision: source.state.revision, watchers: source.watchers };
    case 'evacuations':
      return createEvacuationsView(source);
    case 'quarantines':
      return createQuarantinesView(source.state.routing);
    case 'control':
      return createControlView(source);
    default:
      return assertNever(kind);
  }
}

function createConfigurationView(state: ControlState): ConfigurationView {
  const { revision, configuration, history } = state;
  return { revision, configuration, history };
}

function createHostsView(source: ViewSource): HostsView {
  const groups = findPlacements(source.state);
  const hosts = [...source.directory.read().values()].map((host) =>
    describeHost(source, host, groups.get(host.facts.host) ?? null),
  );
  return { revision: source.state.revision, hosts };
}

function describeHost(source: ViewSource, host: ReportedHost, group: string | null): HostView {
  const { overrides, routing } = source.state;
  const facts = drainEvacuated(
    applyHostOverride(host.facts, overrides.get(host.facts.host)),
    routing.evacuations,
  );
  return {
    ...facts,
    upstream: facts.upstream ?? null,
    isPresent: source.isPresent(host, source.now),
    group,
    lastReportMilliseconds: Math.round(source.now - host.lastHeard),
  };
}

function createGroupsView(source: ViewSource): GroupsView {
  const placements = findPlacements(source.state);
  const groups = [...source.state.groups.values()].map((group): GroupView => {
    const health = source.directory.findHealth(group);
    const members = group.members.map((member) => member.host);
    return {
      name: group.name,
      declaration: group.declaration,
      fencingNumber: group.fencingNumber,
      offer: group.offer,
      members,
      isServing: health?.isServing ?? false,
      isDraining: group.isDraining,
      missing: health?.missing ?? members,
    };
  });
  const strandedHosts = [...source.directory.read().values()]
    .filter((host) => host.facts.isHealthy && source.isPresent(host, source.now))
    .map((host) => host.facts.host)
    .filter((host) => !placements.has(host));
  return { revision: source.state.revision, groups, strandedHosts };
}

function createControlView(source: ViewSource): ControlView {
  const { leadership, name } = source;
  return {
    name,
    role: leadership.type,
    term: leadership.term,
    leader: findLeader(leadership, name),
    index: source.state.index,
    revision: source.state.revision,
    stalenessMilliseconds: Math.round(source.staleness),
    voters: source.voters,
  };
}

function findLeader(leadership: LeadershipView, name: string): string | null {
  switch (leadership.type) {
    case 'leader':
      return name;
    case 'follower':
      return leadership.leader;
    case 'leaderless':
      return null;
    default:
      return assertNever(leadership);
  }
}

function findPlacements(state: ControlState): ReadonlyMap<string, string> {
  return new Map(
    [...state.groups.values()].flatMap((group) =>
      group.members.map((member): [string, string] => [member.host, group.name]),
    ),
  );
}
