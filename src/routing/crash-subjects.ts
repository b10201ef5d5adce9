import { digest } from '../common/index.js';

/** What the crash of an upstream may be blamed on. */

/** `request`: the digest of a whole request. `segment`: one segment of prompts for a service, whatever else the requests contain. */
export type CrashSubject =
  | { readonly type: 'request'; readonly digest: string }
  | { readonly type: 'segment'; readonly service: string; readonly segment: string };

/** A subject as a string, as stored in the replicated state and in messages. */
export type CrashSubjectKey = string;

const segmentPrefix = 'segment';
const separator = '/';
/** Longer identifiers are replaced with their digest, so that callers cannot make the state large. */
const maximumSegmentLength = 64;

/** The same segment counts separately for each service: what crashes the upstreams of one may be harmless to those of another. */
export function formatSegmentSubject(service: string, segment: string): CrashSubjectKey {
  const identifier = segment.length > maximumSegmentLength ? digest([segment]) : segment;
  return [segmentPrefix, ...[service, identifier].map(encodeURIComponent)].join(separator);
}

/** Keys of whole requests are their digests. */
export function parseSubject(key: CrashSubjectKey): CrashSubject {
  const [prefix, service, segment] = key.split(separator);
  if (prefix !== segmentPrefix || service === undefined || segment === undefined) {
    return { type: 'request', digest: key };
  }
  return {
    type: 'segment',
    service: decodeURIComponent(service),
    segment: decodeURIComponent(segment),
  };
}
