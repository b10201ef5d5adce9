import { isDeepStrictEqual } from 'node:util';

import type { Milliseconds } from '../../common/index.js';
import {
  formatIdentity,
  identityOf,
  isSameStart,
  type Announcement,
  type Instance,
  type InstanceIdentity,
} from '../../routing/index.js';
import type { RoutingState } from '../state/index.js';
import { compareToKnown, findConflicting, type StartStanding } from './instance-standing.js';

/** Decides which changes the leader records for the announcements of instances; free of I/O. */

/** How long the last sequence of a removed instance is kept. Announcements are delayed by a few seconds; a minute is far beyond that. */
const sequenceRetention: Milliseconds = 60_000;
/**
 * A rejected start is accepted once it has announced itself for this long while no other instance with its id or address has.
 * Announcements are delayed by about five seconds at most, so an instance that keeps announcing itself for longer is running.
 */
const proofDuration: Milliseconds = 6000;

/** Changes to record in the replicated log. */
export interface InstanceChanges {
  readonly present: readonly Instance[];
  readonly retired: readonly InstanceIdentity[];
  readonly silent: readonly InstanceIdentity[];
  readonly proved?: readonly InstanceIdentity[];
}

/**
 * Result of handling an announcement. `unusable`: it does not describe a usable instance and changes nothing. `retired`: it is from a
 * start that has ended.
 */
export type AnnouncementVerdict =
  | { readonly type: 'known' }
  | { readonly type: 'retired' }
  | { readonly type: 'unusable'; readonly reason: string }
  | { readonly type: 'record'; readonly changes: InstanceChanges };

type PresentAnnouncement = Extract<Announcement, { readonly type: 'present' }>;
type LeavingAnnouncement = Extract<Announcement, { readonly type: 'leaving' }>;

interface LastHeard {
  readonly sequence: number;
  readonly at: Milliseconds;
  /** When the current run of rejected announcements began; undefined if the last one was not rejected. */
  readonly rejectedSince: Milliseconds | undefined;
}

const noChanges: InstanceChanges = { present: [], retired: [], silent: [] };

export class InstanceTracker {
  /** Keyed by the formatted identity. */
  readonly #lastHeard = new Map<string, LastHeard>();

  handleAnnouncement(
    announcement: Announcement,
    state: RoutingState,
    now: Milliseconds,
  ): AnnouncementVerdict {
    switch (announcement.type) {
      case 'leaving':
        return this.#handleLeaving(announcement, state);
      case 'present':
        return this.#handlePresent(announcement, state, now);
    }
  }

  /** Instances in the state whose last announcement is older than the limit. */
  findSilent(
    state: RoutingState,
    now: Milliseconds,
    limit: Milliseconds,
  ): readonly InstanceIdentity[] {
    this.#removeExpired(state, now);
    return [...state.instances.values()]
      .filter((instance) => now - this.#findLastHeard(instance, now).at > limit)
      .map(identityOf);
  }

  /**
   * Silent instances to remove from routing. If every instance of a service is silent, all of them are kept: a partition between
   * control and the instances is more likely than all of them having ended at once, and gateways skip instances that refuse
   * connections. Removing them would leave the callers of the service without an upstream.
   */
  findRemovable(
    state: RoutingState,
    now: Milliseconds,
    limit: Milliseconds,
  ): readonly InstanceIdentity[] {
    const silent = this.findSilent(state, now, limit);
    const silentIds = new Set(silent.map(({ id }) => id));
    const heard = [...state.instances.values()].filter(({ id }) => !silentIds.has(id));
    const heardServices = new Set(heard.map(({ service }) => service));
    return silent.filter(({ id }) => heardServices.has(state.instances.get(id)?.service ?? ''));
  }

  /** Forgets all announcements. A new leader does not know when an instance was last heard, so every silence timer starts again. */
  clear(): void {
    this.#lastHeard.clear();
  }

  #handlePresent(
    { instance, sequence }: PresentAnnouncement,
    state: RoutingState,
    now: Milliseconds,
  ): AnnouncementVerdict {
    const isDeclared =
      state.document?.services.some(({ name }) => name === instance.service) ?? true;
    if (!isDeclared) {
      return {
        type: 'unusable',
        reason: `no document names the service ${instance.service}`,
      };
    }
    const standing = compareToKnown(instance, state);
    if (standing === 'startMissing') {
      return {
        type: 'unusable',
        reason: 'the instance of this id names its starts',
      };
    }
    const heard = this.#lastHeard.get(formatIdentity(instance));
    if (heard !== undefined && sequence < heard.sequence) {
      // A newer announcement arrived first; accepting this one would undo its changes.
      return { type: 'known' };
    }
    const rejectedSince = standing === 'doubtful' ? (heard?.rejectedSince ?? now) : undefined;
    this.#lastHeard.set(formatIdentity(instance), { sequence, at: now, rejectedSince });
    return this.#evaluate(instance, standing, state, now);
  }

  #evaluate(
    instance: Instance,
    standing: Exclude<StartStanding, 'startMissing'>,
    state: RoutingState,
    now: Milliseconds,
  ): AnnouncementVerdict {
    switch (standing) {
      case 'present':
        return recordIfChanged(instance, state);
      case 'newer':
        return { type: 'record', changes: { ...noChanges, present: [instance] } };
      case 'over':
        return { type: 'retired' };
      case 'doubtful': {
        const proved = [identityOf(instance)];
        return this.#hasProvedRunning(instance, state, now)
          ? { type: 'record', changes: { ...noChanges, present: [instance], proved } }
          : { type: 'retired' };
      }
    }
  }

  /**
   * Whether a start that appears to have ended has shown that it is running.
   * An instance whose host clock was set back reports an earlier start time than its predecessor, and an instance whose address was
   * claimed by another writer looks replaced. If such an instance were rejected permanently, a healthy instance would get no requests.
   * In the log this shows as an instance that keeps announcing itself and is never recorded.
   */
  #hasProvedRunning(instance: Instance, state: RoutingState, now: Milliseconds): boolean {
    const rejectedSince = this.#findLastHeard(instance, now).rejectedSince ?? now;
    const conflicting = findConflicting(instance, state);
    const areConflictingSilent = conflicting.every(
      (other) => now - this.#findLastHeard(other, now).at >= proofDuration,
    );
    return now - rejectedSince >= proofDuration && areConflictingSilent;
  }

  /** Drops removed instances. Their last sequence is kept only as long as an older announcement may still arrive. */
  #removeExpired(state: RoutingState, now: Milliseconds): void {
    const present = new Set([...state.instances.values()].map(formatIdentity));
    for (const [key, { at }] of this.#lastHeard) {
      if (!present.has(key) && now - at > sequenceRetention) {
        this.#lastHeard.delete(key);
      }
    }
  }

  /** Last announcement of a start. For a start that this leader has not heard, the silence timer begins now. */
  #findLastHeard(identity: InstanceIdentity, now: Milliseconds): LastHeard {
    const key = formatIdentity(identity);
    const known = this.#lastHeard.get(key);
    if (known !== undefined) {
      return known;
    }
    const heard = { sequence: Number.NEGATIVE_INFINITY, at: now, rejectedSince: undefined };
    this.#lastHeard.set(key, heard);
    return heard;
  }

  /** An announcement without a start time refers to the current start. */
  #handleLeaving({ id, startedAt }: LeavingAnnouncement, state: RoutingState): AnnouncementVerdict {
    const present = state.instances.get(id);
    const named = startedAt === undefined ? { id } : { id, startedAt };
    const leaving = startedAt === undefined && present !== undefined ? identityOf(present) : named;
    this.#lastHeard.delete(formatIdentity(leaving));
    const isKnown = state.departed.some(
      (each) =>
        each.reason === 'left' &&
        (startedAt === undefined ? each.id === id : isSameStart(each, named)),
    );
    return isKnown && (present === undefined || !isSameStart(present, leaving))
      ? { type: 'known' }
      : { type: 'record', changes: { ...noChanges, retired: [leaving] } };
  }
}

/** A draining instance never becomes active again: an announcement without the flag is a delayed one. */
function recordIfChanged(instance: Instance, state: RoutingState): AnnouncementVerdict {
  const known = state.instances.get(instance.id);
  const next = known?.isDraining === true ? { ...instance, isDraining: true } : instance;
  return isDeepStrictEqual(known, next)
    ? { type: 'known' }
    : { type: 'record', changes: { ...noChanges, present: [next] } };
}
