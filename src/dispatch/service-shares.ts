import type { Milliseconds } from '../common/index.js';
import { DecayedCount } from './decayed-count.js';

/** Finds the classes and accounts whose requests are served far less often than all requests. */

/**
 * A class is starved if it is served less often than this share of the mean. The guarantee is a quarter; the margin covers the delay until
 * the class is served again and the requests that its gateways refuse meanwhile.
 */
const starvedShare = 0.4;
/** Fewer outcomes than this say nothing about a class. */
const minimumOutcomes = 3;
/** Period over which outcomes count; several times the longest wait. */
const period: Milliseconds = 4000;
/** Above this number of classes, those without recent outcomes are removed. */
const maximumTracked = 512;
const negligible = 0.01;

interface Outcomes {
  readonly served: DecayedCount;
  readonly refused: DecayedCount;
}

export class ServiceShares {
  readonly #all = createOutcomes();
  readonly #classes = new Map<string, Outcomes>();

  noteServed(classes: readonly string[], now: Milliseconds): void {
    this.#all.served.add(now);
    for (const name of classes) {
      this.#find(name, now).served.add(now);
    }
  }

  noteRefused(classes: readonly string[], now: Milliseconds): void {
    this.#all.refused.add(now);
    for (const name of classes) {
      this.#find(name, now).refused.add(now);
    }
  }

  isStarved(name: string, now: Milliseconds): boolean {
    const own = this.#classes.get(name);
    if (own === undefined || own.served.read(now) + own.refused.read(now) < minimumOutcomes) {
      return false;
    }
    return readShare(own, now) < starvedShare * readShare(this.#all, now);
  }

  #find(name: string, now: Milliseconds): Outcomes {
    const known = this.#classes.get(name);
    if (known !== undefined) {
      return known;
    }
    if (this.#classes.size >= maximumTracked) {
      this.#removeIdle(now);
    }
    const created = createOutcomes();
    this.#classes.set(name, created);
    return created;
  }

  #removeIdle(now: Milliseconds): void {
    for (const [name, { served, refused }] of this.#classes) {
      if (served.read(now) + refused.read(now) < negligible) {
        this.#classes.delete(name);
      }
    }
  }
}

function createOutcomes(): Outcomes {
  return { served: new DecayedCount(period), refused: new DecayedCount(period) };
}

function readShare({ served, refused }: Outcomes, now: Milliseconds): number {
  const count = served.read(now);
  return count / (count + refused.read(now));
}
