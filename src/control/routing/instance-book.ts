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
import { compareToKnown, findHolders, type StartStanding } from './instance-standing.js';

/** Decides what the leader records of the announcements of instances; free of I/O. */

/** Announcements are late by seconds; a minute is far beyond that. */
const forgetAfter: Milliseconds = 60_000;
/**
 * A start that is passed over is taken once it has spoken for this long, and nobody else under its id or at its address has. An announcement
 * comes some five seconds late at most, so one that speaks for longer than that runs.
 */
const provedAfter: Milliseconds = 6000;

/** What to record in the log. */
export interface InstanceChanges {
  readonly present: readonly Instance[];
  readonly retired: readonly InstanceIdentity[];
  readonly silent: readonly InstanceIdentity[];
  readonly proved?: readonly InstanceIdentity[];
}

/**
 * What an announcement means. `unusable`: it is not from an instance that could be used, and changes nothing. `retired`: it is
 * from a start that is over.
 */
export type AnnouncementVerdict =
  | { readonly type: 'known' }
  | { readonly type: 'retired' }
  | { readonly type: 'unusable'; readonly reason: string }
  | { readonly type: 'record'; readonly changes: InstanceChanges };

type Presence = Extract<Announcement, { readonly type: 'present' }>;
type Leaving = Extract<Announcement, { readonly type: 'leaving' }>;

interface Heard {
  readonly sequence: number;
  readonly at: Milliseconds;
  /** Since when each of its announcements was passed over; undefined where the last one was not. */
  readonly doubtedAt: Milliseconds | undefined;
}

const nothing: InstanceChanges = { present: [], retired: [], silent: [] };

export class InstanceBook {
  /** By identity as text. */
  readonly #heard = new Map<string, Heard>();

  take(announcement: Announcement, state: RoutingState, now: Milliseconds): AnnouncementVerdict {
    switch (announcement.type) {
      case 'leaving':
        return this.#takeLeaving(announcement, state);
      case 'present':
        return this.#takePresence(announcement, state, now);
    }
  }

  /** Instances in the state that have not been heard of for longer than the limit. */
  findSilent(
    state: RoutingState,
    now: Milliseconds,
    limit: Milliseconds,
  ): readonly InstanceIdentity[] {
    this.#forget(state, now);
    return [...state.instances.values()]
      .filter((instance) => now - this.#findHeard(instance, now).at > limit)
      .map(identityOf);
  }

  /**
   * Silent instances that get no requests any more. A service of which every instance is silent keeps them: rather control is cut off from them
   * than all ended at once, and gateways pass over those that refuse connections. Given up, its callers would have no upstream at all.
   */
  findGivenUp(
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

  /** A new leader knows of nobody when he was last heard: everyone's time begins anew. */
  clear(): void {
    this.#heard.clear();
  }

  #takePresence(
    { instance, sequence }: Presence,
    state: RoutingState,
    now: Milliseconds,
  ): AnnouncementVerdict {
    const isNamed = state.document?.services.some(({ name }) => name === instance.service) ?? true;
    if (!isNamed) {
      return { type: 'unusable', reason: `no document names the service ${instance.service}` };
    }
    const standing = compareToKnown(instance, state);
    if (standing === 'startMissing') {
      return { type: 'unusable', reason: 'the instance of this id names its starts' };
    }
    const heard = this.#heard.get(formatIdentity(instance));
    if (heard !== undefined && sequence < heard.sequence) {
      // It was overtaken by a newer one; taking it would bring back what the newer one took away.
      return { type: 'known' };
    }
    const doubtedAt = standing === 'doubtful' ? (heard?.doubtedAt ?? now) : undefined;
    this.#heard.set(formatIdentity(instance), { sequence, at: now, doubtedAt });
    return this.#judge(instance, standing, state, now);
  }

  #judge(
    instance: Instance,
    standing: Exclude<StartStanding, 'startMissing'>,
    state: RoutingState,
    now: Milliseconds,
  ): AnnouncementVerdict {
    switch (standing) {
      case 'present':
        return recordIfChanged(instance, state);
      case 'newer':
        return { type: 'record', changes: { ...nothing, present: [instance] } };
      case 'over':
        return { type: 'retired' };
      case 'doubtful': {
        const proved = [identityOf(instance)];
        return this.#isProved(instance, state, now)
          ? { type: 'record', changes: { ...nothing, present: [instance], proved } }
          : { type: 'retired' };
      }
    }
  }

  /**
   * Whether a start that seems to be over has shown that it runs.
   * An instance whose host's clock was set back names an earlier start than the one before it, and one whose address a foreign
   * announcement claimed is taken for replaced. Passed over for good, a sound instance would get no requests any more; it shows
   * in the log as an instance that announces itself without end and is not recorded.
   */
  #isProved(instance: Instance, state: RoutingState, now: Milliseconds): boolean {
    const doubtedAt = this.#findHeard(instance, now).doubtedAt ?? now;
    const holders = findHolders(instance, state);
    const areSilent = holders.every(
      (holder) => now - this.#findHeard(holder, now).at >= provedAfter,
    );
    return now - doubtedAt >= provedAfter && areSilent;
  }

  /** Of instances that are gone only their last word is kept, for as long as it may be overtaken by an older one. */
  #forget(state: RoutingState, now: Milliseconds): void {
    const present = new Set([...state.instances.values()].map(formatIdentity));
    for (const [key, { at }] of this.#heard) {
      if (!present.has(key) && now - at > forgetAfter) {
        this.#heard.delete(key);
      }
    }
  }

  /** What was last heard of a start; one that this leader has not heard counts from now on. */
  #findHeard(identity: InstanceIdentity, now: Milliseconds): Heard {
    const key = formatIdentity(identity);
    const known = this.#heard.get(key);
    if (known !== undefined) {
      return known;
    }
    const heard = { sequence: Number.NEGATIVE_INFINITY, at: now, doubtedAt: undefined };
    this.#heard.set(key, heard);
    return heard;
  }

  /** One that names no start is meant by the start that is there. */
  #takeLeaving({ id, startedAt }: Leaving, state: RoutingState): AnnouncementVerdict {
    const present = state.instances.get(id);
    const named = startedAt === undefined ? { id } : { id, startedAt };
    const leaving = startedAt === undefined && present !== undefined ? identityOf(present) : named;
    this.#heard.delete(formatIdentity(leaving));
    const isKnown = state.departed.some(
      (each) =>
        each.reason === 'left' &&
        (startedAt === undefined ? each.id === id : isSameStart(each, named)),
    );
    return isKnown && (present === undefined || !isSameStart(present, leaving))
      ? { type: 'known' }
      : { type: 'record', changes: { ...nothing, retired: [leaving] } };
  }
}

/** An instance that said it drains does not come back from that: an announcement without it is late. */
function recordIfChanged(instance: Instance, state: RoutingState): AnnouncementVerdict {
  const known = state.instances.get(instance.id);
  const next = known?.isDraining === true ? { ...instance, isDraining: true } : instance;
  return isDeepStrictEqual(known, next)
    ? { type: 'known' }
    : { type: 'record', changes: { ...nothing, present: [next] } };
}
