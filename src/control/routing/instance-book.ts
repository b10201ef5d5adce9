import { isDeepStrictEqual } from 'node:util';

import type { Milliseconds } from '../../common/index.js';
import type { Announcement, Instance } from '../../routing/index.js';
import type { RoutingState } from '../state/index.js';

/** Decides what the leader records of the announcements of instances; free of I/O. */

/** Announcements are late by seconds; a minute is far beyond that. */
const forgetAfter: Milliseconds = 60_000;

/** What to record in the log. */
export interface InstanceChanges {
  readonly present: readonly Instance[];
  readonly retired: readonly string[];
  readonly silent: readonly string[];
}

/** What an announcement means. */
export type AnnouncementVerdict =
  | { readonly type: 'known' }
  | { readonly type: 'retired' }
  | { readonly type: 'record'; readonly changes: InstanceChanges };

interface Heard {
  readonly sequence: number;
  readonly at: Milliseconds;
}

export class InstanceBook {
  readonly #heard = new Map<string, Heard>();

  take(announcement: Announcement, state: RoutingState, now: Milliseconds): AnnouncementVerdict {
    if (announcement.type === 'leaving') {
      return this.#takeLeaving(announcement.id, state);
    }
    const { instance, sequence } = announcement;
    if (state.retired.includes(instance.id)) {
      return { type: 'retired' };
    }
    const heard = this.#heard.get(instance.id);
    if (heard !== undefined && sequence < heard.sequence) {
      // It was overtaken by a newer one; taking it would bring back what the newer one took away.
      return { type: 'known' };
    }
    this.#heard.set(instance.id, { sequence, at: now });
    const known = state.instances.get(instance.id);
    // An instance that said it drains does not come back from that: an announcement without it is late.
    const next = known?.isDraining === true ? { ...instance, isDraining: true } : instance;
    return isDeepStrictEqual(known, next)
      ? { type: 'known' }
      : { type: 'record', changes: { present: [next], retired: [], silent: [] } };
  }

  /** Instances in the state that have not been heard of for longer than the limit. */
  findSilent(state: RoutingState, now: Milliseconds, limit: Milliseconds): readonly string[] {
    this.#forget(state, now);
    return [...state.instances.keys()].filter((id) => {
      const heard = this.#heard.get(id) ?? this.#noteFirst(id, now);
      return now - heard.at > limit;
    });
  }

  /** A new leader knows of nobody when he was last heard: everyone's time begins anew. */
  clear(): void {
    this.#heard.clear();
  }

  /** Of instances that are gone only their last word is kept, for as long as it may be overtaken by an older one. */
  #forget(state: RoutingState, now: Milliseconds): void {
    for (const [id, { at }] of this.#heard) {
      if (!state.instances.has(id) && now - at > forgetAfter) {
        this.#heard.delete(id);
      }
    }
  }

  #noteFirst(id: string, now: Milliseconds): Heard {
    const heard = { sequence: Number.NEGATIVE_INFINITY, at: now };
    this.#heard.set(id, heard);
    return heard;
  }

  #takeLeaving(id: string, state: RoutingState): AnnouncementVerdict {
    this.#heard.delete(id);
    return state.retired.includes(id)
      ? { type: 'known' }
      : { type: 'record', changes: { present: [], retired: [id], silent: [] } };
  }
}
