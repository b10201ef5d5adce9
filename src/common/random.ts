import { randomBytes, randomUUID } from 'node:crypto';

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers for decisions: seeded, so that a test repeats the same choices. */
export interface RandomSource {
  /** A whole number from 0 to `bound` - 1; `bound` is at least 1. */
  readonly integerBelow: (bound: number) => number;
  /** A number from 0 (included) to 1 (excluded). */
  readonly fraction: () => number;
}

/** A repeatable source from a 32-bit seed. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    integerBelow: (bound) => uniformInt(generator, 0, bound - 1),
    fraction: () => uniformFloat64(generator),
  };
}

/** A source seeded by the system's entropy, for processes. */
export function createEntropySource(): RandomSource {
  return createRandomSource(randomBytes(4).readInt32LE(0));
}

/** A new identifier that no other process has given out. */
export function createIdentifier(): string {
  return randomUUID();
}
