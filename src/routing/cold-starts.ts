import { formatIdentity, type Instance, type InstanceIdentity } from './instances.js';
import type { ColdProfile, EngineGroup, Evacuation, RoutingDocument } from './schema.js';

/** Finds the starts of instances that may be cold. */

/** Routing state that contains instances and engine groups. */
interface StartSources {
  readonly instances: ReadonlyMap<string, Instance>;
  readonly engineGroups: ReadonlyMap<string, EngineGroup>;
  /** Evacuations in force, by failure domain. */
  readonly evacuations: ReadonlyMap<string, Evacuation>;
}

interface Start {
  readonly identity: InstanceIdentity;
  readonly service: string;
  /** Undefined if unknown. */
  readonly failureDomain: string | undefined;
}

/** Cold profiles of all starts, by formatted identity; starts of services without one are left out. */
export function listColdProfiles(
  sources: StartSources,
  document: RoutingDocument | undefined,
): ReadonlyMap<string, ColdProfile> {
  const profiles = new Map<string, ColdProfile>();
  for (const { name, cold } of document?.services ?? []) {
    if (cold !== undefined) {
      profiles.set(name, cold);
    }
  }
  const found = new Map<string, ColdProfile>();
  if (profiles.size === 0) {
    return found;
  }
  for (const { identity, service } of listStarts(sources)) {
    const profile = profiles.get(service);
    if (profile !== undefined) {
      found.set(formatIdentity(identity), profile);
    }
  }
  return found;
}

/** Formatted identities of the starts in failure domains that were evacuated before and are not any more. */
export function listReturned(
  { evacuations: before }: Pick<StartSources, 'evacuations'>,
  sources: StartSources,
): readonly string[] {
  const returned = [...before.keys()].filter((domain) => !sources.evacuations.has(domain));
  return returned.length === 0
    ? []
    : listStarts(sources)
        .filter(({ failureDomain }) => returned.includes(failureDomain ?? ''))
        .map(({ identity }) => formatIdentity(identity));
}

function listStarts({ instances, engineGroups }: StartSources): readonly Start[] {
  const announced = [...instances.values()].map((instance): Start => {
    const { service, failureDomain } = instance;
    return { identity: instance, service, failureDomain };
  });
  const members = [...engineGroups.values()].flatMap(({ service, members }) => {
    return members.map(({ instance, failureDomain }): Start => {
      const domain = failureDomain ?? instances.get(instance.id)?.failureDomain;
      return { identity: instance, service, failureDomain: domain };
    });
  });
  return [...announced, ...members];
}
