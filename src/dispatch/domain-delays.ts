import type { Milliseconds } from '../common/index.js';
import type { DomainDelay } from '../routing/index.js';

/** Declared latencies between failure domains, as seen from one of them; performs no I/O. */

/** Below this one-way delay, domains are close enough to be chosen by load alone. */
const leastDelay: Milliseconds = 2;

export class DomainDelays {
  readonly #own: string | undefined;
  readonly #delays: ReadonlyMap<string, Milliseconds>;
  /** Whether the choice of an upstream takes domains into account: they are far apart, and the own one is known. */
  readonly isSpread: boolean;

  constructor(own: string | undefined, declared: readonly DomainDelay[] = []) {
    this.#own = own;
    this.isSpread = own !== undefined && declared.some(({ delay }) => delay >= leastDelay);
    this.#delays = new Map(
      declared.flatMap(({ between: [one, other], delay }): [string, Milliseconds][] => {
        if (one === own) {
          return [[other, delay]];
        }
        return other === own ? [[one, delay]] : [];
      }),
    );
  }

  isOwn(failureDomain: string | undefined): boolean {
    return failureDomain !== undefined && failureDomain === this.#own;
  }

  /** Time there and back; 0 if the domain is unknown. */
  findRoundTrip(failureDomain: string | undefined): Milliseconds {
    return 2 * (this.#delays.get(failureDomain ?? '') ?? 0);
  }
}
