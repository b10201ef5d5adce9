import { formatIdentity, type Instance } from './instances.js';
import type { EngineGroup } from './schema.js';

/** Routing state that contains the identities of upstreams. */
interface UpstreamSources {
  readonly instances: ReadonlyMap<string, Instance>;
  readonly engineGroups: ReadonlyMap<string, EngineGroup>;
}

/** Formatted identities of all announced instances and all members of engine groups. */
export function listIdentities({ instances, engineGroups }: UpstreamSources): ReadonlySet<string> {
  const members = [...engineGroups.values()].flatMap((group) => group.members);
  const identities = [...members.map(({ instance }) => instance), ...instances.values()];
  return new Set(identities.map(formatIdentity));
}
