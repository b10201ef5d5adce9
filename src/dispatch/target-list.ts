import {
  formatIdentity,
  identityOf,
  type EngineGroup,
  type InstanceIdentity,
  type RoutedService,
} from '../routing/index.js';
import type { RoutingView } from '../watch/index.js';

/** Lists the upstreams of a service; performs no I/O. */

/** An upstream to which a request can be sent. */
export interface Target {
  /** Name of the group, or identity of one start of an instance of a plain service. */
  readonly key: string;
  readonly service: string;
  /** Whether it is a group of engines; if not, it is an instance of a plain service. */
  readonly isGroup: boolean;
  readonly instance: InstanceIdentity;
  /** `ip:port`. */
  readonly address: string;
  /** Undefined if unknown. */
  readonly failureDomain: string | undefined;
  /** Requests that it processes concurrently; undefined if unknown. */
  readonly slots: number | undefined;
}

/** Open groups of the model, or instances of a plain service that are not draining. */
export function listTargets(
  { engineGroups, instances }: RoutingView,
  service: RoutedService,
  model: string | undefined,
): readonly Target[] {
  if (service.engine !== undefined) {
    const { slots } = service.engine;
    return [...engineGroups.values()]
      .filter((group) => group.service === service.name && group.model === model)
      .filter(({ phase }) => phase === 'open')
      .flatMap((group) => describeGroup(group, slots, instances) ?? []);
  }
  return [...instances.values()]
    .filter((instance) => instance.service === service.name && !instance.isDraining)
    .map((instance) => ({
      key: formatIdentity(instance),
      service: service.name,
      isGroup: false,
      instance: identityOf(instance),
      address: instance.address,
      failureDomain: instance.failureDomain,
      slots: undefined,
    }));
}

function describeGroup(
  { name, service, members }: EngineGroup,
  slots: number,
  instances: RoutingView['instances'],
): Target | undefined {
  const head = members[0];
  if (head === undefined) {
    return undefined;
  }
  const { instance, address } = head;
  const failureDomain = head.failureDomain ?? instances.get(instance.id)?.failureDomain;
  return { key: name, service, isGroup: true, instance, address, failureDomain, slots };
}
