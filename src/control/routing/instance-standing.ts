import {
  isSameStart,
  type DepartedInstance,
  type Instance,
  type InstanceIdentity,
} from '../../routing/index.js';
import type { RoutingState } from '../state/index.js';

/** Compares a start that speaks with what is recorded under its id and at its address. */

/**
 * How a start stands to what is recorded. `present`: it is the one that is there, or the last one, that was only silent.
 * `newer`: it began after all that are known under its id. `over`: it left. `doubtful`: it was replaced, or one that began
 * later is known. `startMissing`: it names no start, and the instance of this id does.
 */
export type StartStanding = 'present' | 'newer' | 'over' | 'doubtful' | 'startMissing';

/**
 * Of two starts under one id the one that names the later time is the newer one. Sequences do not tell, since each start counts
 * anew, and neither does the order of arrival: what a partition held back arrives after what was sent later.
 */
export function compareToKnown(instance: Instance, state: RoutingState): StartStanding {
  const departures = state.departed.filter(({ id }) => id === instance.id);
  const departure = departures.find((each) => isSameStart(each, instance));
  if (departure?.reason === 'left') {
    return 'over';
  }
  const present = state.instances.get(instance.id);
  if (present !== undefined && isSameStart(present, instance)) {
    return 'present';
  }
  const latest = findLatest(present === undefined ? departures : [present]);
  if (latest === undefined) {
    return 'newer';
  }
  if (instance.startedAt === undefined) {
    return latest.startedAt === undefined ? compareUnnamed(departure) : 'startMissing';
  }
  const isEarlier = latest.startedAt !== undefined && instance.startedAt < latest.startedAt;
  if (isEarlier || departure?.reason === 'replaced') {
    return 'doubtful';
  }
  return departure === undefined ? 'newer' : 'present';
}

/** The instances that would be replaced by this one: under its id, and at its address. */
export function findHolders(
  instance: Instance,
  { instances }: RoutingState,
): readonly InstanceIdentity[] {
  return [...instances.values()].filter(
    (other) =>
      (other.id === instance.id || other.address === instance.address) &&
      !isSameStart(other, instance),
  );
}

/** Where no starts are named, a restart has another id: this is the one that departed, or one that is new. */
function compareUnnamed(departure: DepartedInstance | undefined): StartStanding {
  return departure?.reason === 'replaced' ? 'doubtful' : 'present';
}

function findLatest(identities: readonly InstanceIdentity[]): InstanceIdentity | undefined {
  return identities.reduce<InstanceIdentity | undefined>((latest, each) => {
    const isLater = (each.startedAt ?? -1) > (latest?.startedAt ?? -1);
    return latest === undefined || isLater ? each : latest;
  }, undefined);
}
