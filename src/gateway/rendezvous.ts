import { createHash } from 'node:crypto';

/** A candidate for weighted rendezvous hashing. */
export interface WeightedCandidate {
  readonly name: string;
  /** Greater than 0; the expected share of keys is proportional to the weight. */
  readonly weight: number;
}

const hashRange = 2 ** 48;
const hashBytes = 6;

/**
 * Orders candidates for a key by weighted rendezvous hashing, best first.
 * Removing a candidate moves only its own keys; lowering a weight only moves keys away from that candidate.
 */
export function rankByRendezvous<Candidate extends WeightedCandidate>(
  key: string,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: -candidate.weight / Math.log(hashToFraction(key, candidate.name)),
  }));
  scored.sort((left, right) => right.score - left.score);
  return scored.map(({ candidate }) => candidate);
}

/** Maps both strings deterministically to a number strictly between 0 and 1. */
function hashToFraction(key: string, name: string): number {
  const digest = createHash('sha1').update(key).update('\0').update(name).digest();
  return (digest.readUIntBE(0, hashBytes) + 0.5) / hashRange;
}
