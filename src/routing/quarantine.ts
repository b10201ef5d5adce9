import { parseSubject, type CrashSubjectKey } from './crash-subjects.js';
import { quarantineThreshold, type CrashSuspect } from './suspects.js';

/** Decides which subjects gateways must not send, from the crashes that they were in flight at. */

type Suspects = ReadonlyMap<CrashSubjectKey, CrashSuspect>;

/** Keys of the subjects that gateways must not send. */
export function listQuarantined(suspects: Suspects): ReadonlySet<CrashSubjectKey> {
  const quarantined = [...suspects.values()].filter(isQuarantined);
  return new Set(quarantined.map(({ request }) => request));
}

export function isQuarantined({ quarantinedAt }: CrashSuspect): boolean {
  return quarantinedAt !== undefined;
}

/**
 * Keys of the subjects to quarantine, with those that already are.
 * Sound requests share segments with a request that crashes upstreams, so those segments are in flight at the same crashes. Which of them is
 * guilty shows only when one is answered, so each of them is held back until then: sparing the ones with fewer crashes would let a guilty one
 * through whenever two of them crash upstreams. Whole requests are different: many are in flight at each crash, a retry puts one in flight at
 * several, and no other request shares them. They are spared if a subject with more crashes accounts for theirs.
 */
export function findBlamed(suspects: Suspects): ReadonlySet<CrashSubjectKey> {
  const candidates = [...suspects.values()]
    .filter(({ upstreams }) => upstreams.length >= quarantineThreshold)
    .sort((one, other) => rankEvidence(other) - rankEvidence(one));
  const blamed: CrashSuspect[] = [];
  for (const candidate of candidates) {
    if (isQuarantined(candidate) || countUnexplained(candidate, blamed) >= quarantineThreshold) {
      blamed.push(candidate);
    }
  }
  return new Set(blamed.map(({ request }) => request));
}

function countUnexplained(candidate: CrashSuspect, blamed: readonly CrashSuspect[]): number {
  const rank = rankEvidence(candidate);
  const explained = new Set(
    blamed
      .filter((each) => rankEvidence(each) > rank && (isRequest(each) || isRequest(candidate)))
      .flatMap(({ upstreams }) => upstreams),
  );
  return candidate.upstreams.filter((upstream) => !explained.has(upstream)).length;
}

/** More crashes are more evidence. At equal counts a whole request ranks before a segment, since rejecting it affects fewer callers. */
function rankEvidence(suspect: CrashSuspect): number {
  return 2 * suspect.upstreams.length + (isRequest(suspect) ? 1 : 0);
}

function isRequest({ request }: CrashSuspect): boolean {
  return parseSubject(request).type === 'request';
}
