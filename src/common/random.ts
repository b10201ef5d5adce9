import { randomBytes, randomUUID } from 'node:crypto';

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers for decision code. Seeded, so that tests can reproduce the same choices. */
export interface RandomSource {
  /** An integer from 0 to `bound` - 1; `bound` must be at least 1. */
  readonly integerBelow: (bound: number) => number;
  /** A number from 0 (inclusive) to 1 (exclusive). */
  readonly fraction: () => number;
}

/** Creates a deterministic source from a 32-bit seed. */
export function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return {
    integerBelow: (bound) => uniformInt(generator, 0, bound - 1),
    fraction: () => uniformFloat64(generator),
  };
}

/** Creates a source seeded from the operating system's entropy, for use in processes. */
export function createEntropySource(): RandomSource {
  return createRandomSource(randomBytes(4).readInt32LE(0));
}

/** Creates an identifier that is unique across processes (a random UUID). */
export function createIdentifier(): string {
  return randomUUID();
}
