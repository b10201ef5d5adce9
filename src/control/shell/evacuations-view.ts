import type { Milliseconds, WallTime } from '../../common/index.js';
import type { EngineView } from '../../engines/index.js';
import type { Evacuation } from '../../routing/index.js';
import type { HostDirectory } from '../host-directory.js';
import type { ControlState, EvacuationsView, EvacuationView } from '../state/index.js';

/** Describes how far the evacuations in force have come; free of I/O. */

/** Data from which the description is made. */
export interface EvacuationSource {
  readonly state: Pick<ControlState, 'routing' | 'groups'>;
  readonly directory: Pick<HostDirectory, 'read'>;
  /** Engines as this host knows them; only the leader receives their reports. */
  readonly engines: ReadonlyMap<string, EngineView>;
  readonly wallNow: WallTime;
  /** Time after which no gateway sends to an evacuated domain any more. */
  readonly evacuationLimit: Milliseconds;
}

export function createEvacuationsView(source: EvacuationSource): EvacuationsView {
  const evacuations = [...source.state.routing.evacuations.values()];
  return { evacuations: evacuations.map((evacuation) => describeEvacuation(source, evacuation)) };
}

function describeEvacuation(
  source: EvacuationSource,
  { failureDomain, startedAt }: Evacuation,
): EvacuationView {
  const groups = listGroups(source, failureDomain);
  const requests = countRequests(source, failureDomain);
  const waitsFor: EvacuationView['waitsFor'] = [
    ...(source.wallNow - startedAt < source.evacuationLimit ? (['gateways'] as const) : []),
    ...(groups.length > 0 ? (['groups'] as const) : []),
    ...(requests > 0 ? (['requests'] as const) : []),
  ];
  return { failureDomain, startedAt, groups, requests, waitsFor };
}

/** Names of the groups, of both kinds, with a member in the domain. */
function listGroups(
  { state, directory, engines }: EvacuationSource,
  failureDomain: string,
): readonly string[] {
  const { engineGroups, instances } = state.routing;
  const hosts = directory.read();
  const ofEngines = [...engineGroups.values()].filter(({ members }) => {
    return members.some((member) => {
      const known =
        member.failureDomain ??
        engines.get(member.host)?.facts.failureDomain ??
        instances.get(member.instance.id)?.failureDomain;
      return known === failureDomain;
    });
  });
  const ofHosts = [...state.groups.values()].filter(({ members }) => {
    return members.some(({ host }) => hosts.get(host)?.facts.failureDomain === failureDomain);
  });
  return [...ofEngines, ...ofHosts].map(({ name }) => name).sort();
}

function countRequests({ engines }: EvacuationSource, failureDomain: string): number {
  return [...engines.values()]
    .filter(({ facts }) => facts.failureDomain === failureDomain)
    .reduce((sum, { facts: { reading } }) => {
      return sum + (reading?.running ?? 0) + (reading?.waiting ?? 0);
    }, 0);
}
