import { createHash } from 'node:crypto';

/** A candidate of a weighted rendezvous hash. */
export interface WeightedCandidate {
  readonly name: string;
  /** Above 0; a candidate of half the weight gets half the keys. */
  readonly weight: number;
}

const hashRange = 2 ** 48;
const hashBytes = 6;

/**
 * Orders candidates for a key by weighted rendezvous hashing, best first.
 * When a candidate leaves, only its own keys move; when a weight falls, keys only move away from that candidate.
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

/** A number strictly between 0 and 1 that depends on both texts only. */
function hashToFraction(key: string, name: string): number {
  const digest = createHash('sha1').update(key).update('\0').update(name).digest();
  return (digest.readUIntBE(0, hashBytes) + 0.5) / hashRange;
}
