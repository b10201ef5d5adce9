import { parseSubject, type CrashSubjectKey } from './crash-subjects.js';
import { quarantineThreshold, type CrashSuspect } from './suspects.js';

/** Decides which subjects are to blame for the crashes that they were in flight at. */

type Suspects = ReadonlyMap<CrashSubjectKey, CrashSuspect>;

/**
 * Keys of the subjects that gateways must not send.
 * Sound requests share segments with a request that crashes upstreams, so those segments are in flight at the same crashes. A subject is
 * therefore blamed only for crashes that no other subject with more evidence accounts for.
 */
export function listQuarantined(suspects: Suspects): ReadonlySet<CrashSubjectKey> {
  const candidates = [...suspects.values()]
    .filter(({ upstreams }) => upstreams.length >= quarantineThreshold)
    .sort((one, other) => rankEvidence(other) - rankEvidence(one));
  const blamed: CrashSuspect[] = [];
  for (const candidate of candidates) {
    if (countUnexplained(candidate, blamed) >= quarantineThreshold) {
      blamed.push(candidate);
    }
  }
  return new Set(blamed.map(({ request }) => request));
}

function countUnexplained(candidate: CrashSuspect, blamed: readonly CrashSuspect[]): number {
  const rank = rankEvidence(candidate);
  const explained = new Set(
    blamed.filter((each) => rankEvidence(each) > rank).flatMap(({ upstreams }) => upstreams),
  );
  return candidate.upstreams.filter((upstream) => !explained.has(upstream)).length;
}

/** More crashes are more evidence. At equal counts a whole request ranks before a segment, since rejecting it affects fewer callers. */
function rankEvidence({ request, upstreams }: CrashSuspect): number {
  const specificity = parseSubject(request).type === 'request' ? 1 : 0;
  return 2 * upstreams.length + specificity;
}
