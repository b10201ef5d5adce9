import {
  isSameStart,
  type DepartedInstance,
  type Instance,
  type InstanceIdentity,
} from '../../routing/index.js';
import type { RoutingState } from '../state/index.js';

/** Compares the start in an announcement with what is recorded for its id and address. */

/**
 * Relation of a start to the recorded ones. `present`: it is the current start, or the last one, which was removed only for silence.
 * `newer`: it began after all known starts of its id. `over`: it left. `doubtful`: it was replaced, or a later start is known.
 * `startMissing`: it has no start time, but the recorded instance with its id does.
 */
export type StartStanding = 'present' | 'newer' | 'over' | 'doubtful' | 'startMissing';

/**
 * Of two starts with the same id, the one with the later start time is newer. Sequence numbers cannot decide this, because each start
 * counts from the beginning. Neither can the order of arrival: announcements delayed by a partition arrive after ones that were sent
 * later.
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
    return latest.startedAt === undefined ? compareWithoutStart(departure) : 'startMissing';
  }
  const isEarlier = latest.startedAt !== undefined && instance.startedAt < latest.startedAt;
  if (isEarlier || departure?.reason === 'replaced') {
    return 'doubtful';
  }
  return departure === undefined ? 'newer' : 'present';
}

/** Instances that this one would replace: those with the same id or the same address. */
export function findConflicting(
  instance: Instance,
  { instances }: RoutingState,
): readonly InstanceIdentity[] {
  return [...instances.values()].filter(
    (other) =>
      (other.id === instance.id || other.address === instance.address) &&
      !isSameStart(other, instance),
  );
}

/** Without start times, a restarted instance has a new id, so this is either the departed instance itself or a new one. */
function compareWithoutStart(departure: DepartedInstance | undefined): StartStanding {
  return departure?.reason === 'replaced' ? 'doubtful' : 'present';
}

function findLatest(identities: readonly InstanceIdentity[]): InstanceIdentity | undefined {
  return identities.reduce<InstanceIdentity | undefined>((latest, each) => {
    const isLater = (each.startedAt ?? -1) > (latest?.startedAt ?? -1);
    return latest === undefined || isLater ? each : latest;
  }, undefined);
}
