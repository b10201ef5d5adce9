import type { Milliseconds } from '../common/index.js';

/** Decides when the evacuations that a gateway learns of take effect; performs no I/O. */

/**
 * Shares of the time from the acknowledgement of an evacuation until no request may reach the domain. A change takes up to 2 s of 5 s to
 * arrive, when the watch has to be opened again; the grace period and a margin of a fifth remain.
 */
const graceShare = 0.4;
/**
 * What control confirmed as current may be 1.5 s of 5 s old, so an evacuation that it does not contain was acknowledged no earlier than
 * that before the confirmation.
 */
const confirmationShare = 0.6;

/**
 * State of a failure domain. `open`: not evacuated. `closing`: evacuated, in its grace period. `evacuated`: no request may be sent to its
 * upstreams.
 */
export type DomainStanding = 'open' | 'closing' | 'evacuated';

/** What a gateway knows from control. */
export interface KnownEvacuations {
  /** By failure domain; empty until the first complete state has arrived. */
  readonly evacuations: ReadonlyMap<string, unknown>;
  /** When control last confirmed the state before this one as current; undefined if it never did. */
  readonly confirmedAt: Milliseconds | undefined;
}

/** Differences from the evacuations known before. */
export interface EvacuationChanges {
  readonly began: readonly { readonly failureDomain: string; readonly effectAt: Milliseconds }[];
  readonly ended: readonly string[];
}

export class Evacuations {
  readonly #limit: Milliseconds;
  readonly #effectAt = new Map<string, Milliseconds>();

  /** `limit`: time from the acknowledgement of an evacuation until no request may reach the domain; 0 for no grace period. */
  constructor(limit: Milliseconds) {
    this.#limit = limit;
  }

  /** Applies the newest state. An evacuation that was known before keeps its time, also if the state comes from another control host. */
  update(known: KnownEvacuations, now: Milliseconds): EvacuationChanges {
    const ended = [...this.#effectAt.keys()].filter((domain) => !known.evacuations.has(domain));
    for (const domain of ended) {
      this.#effectAt.delete(domain);
    }
    const added = [...known.evacuations.keys()].filter((domain) => !this.#effectAt.has(domain));
    const effectAt = this.#findEffect(known.confirmedAt, now);
    for (const domain of added) {
      this.#effectAt.set(domain, effectAt);
    }
    return { began: added.map((failureDomain) => ({ failureDomain, effectAt })), ended };
  }

  standingOf(failureDomain: string | undefined, now: Milliseconds): DomainStanding {
    const effectAt = failureDomain === undefined ? undefined : this.#effectAt.get(failureDomain);
    if (effectAt === undefined) {
      return 'open';
    }
    return now >= effectAt ? 'evacuated' : 'closing';
  }

  /** Number of evacuations that are known. */
  get size(): number {
    return this.#effectAt.size;
  }

  /** Domains whose evacuation has taken effect. */
  listEvacuated(now: Milliseconds): readonly string[] {
    return [...this.#effectAt].filter(([, effectAt]) => effectAt <= now).map(([domain]) => domain);
  }

  /** Earliest time after `now` at which an evacuation takes effect; undefined if there is none. */
  nextEffectAfter(now: Milliseconds): Milliseconds | undefined {
    const later = [...this.#effectAt.values()].filter((effectAt) => effectAt > now);
    return later.length === 0 ? undefined : Math.min(...later);
  }

  /**
   * A gateway without an earlier state may have been started again long after the acknowledgement, and one that was cut off may learn of
   * the evacuation late: they have no grace period, or a shorter one.
   */
  #findEffect(confirmedAt: Milliseconds | undefined, now: Milliseconds): Milliseconds {
    const grace = this.#limit * graceShare;
    const latest = confirmedAt === undefined ? now : confirmedAt + this.#limit * confirmationShare;
    return Math.max(now, Math.min(now + grace, latest));
  }
}

/** Something in a failure domain; undefined if its domain is unknown. */
interface Located {
  readonly failureDomain: string | undefined;
}

/** Splits upstreams by the standing of their failure domains; evacuated ones are left out. */
export function splitByStanding<Item extends Located>(
  items: readonly Item[],
  evacuations: Evacuations,
  now: Milliseconds,
): { readonly open: readonly Item[]; readonly closing: readonly Item[] } {
  const standing = (item: Item): DomainStanding => evacuations.standingOf(item.failureDomain, now);
  return {
    open: items.filter((item) => standing(item) === 'open'),
    closing: items.filter((item) => standing(item) === 'closing'),
  };
}
