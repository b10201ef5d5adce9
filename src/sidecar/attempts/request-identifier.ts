import type { WallTime } from '../../common/index.js';
import type { RequestId } from '../../model/index.js';

/**
 * Request identifiers contain the wall time at which the gateway created them.
 *
 * A message on a connection that went silent can arrive after an arbitrary delay. A sidecar cannot keep tombstones
 * forever, so it recognizes such a message by its age. Without the age, an attempt that was reported as not run would
 * start once its tombstone had been removed.
 */

const timeRadix = 36;

/** Creates an identifier from the wall time and a unique suffix. */
export function createRequestId(at: WallTime, unique: string): RequestId {
  return `${Math.floor(at).toString(timeRadix)}-${unique}`;
}

/** Wall time at which the identifier was created; undefined if the identifier is malformed. */
export function readRequestTime(requestId: RequestId): WallTime | undefined {
  const [prefix] = requestId.split('-', 1);
  if (prefix === undefined || !/^[0-9a-z]{1,11}$/.test(prefix)) {
    return undefined;
  }
  return Number.parseInt(prefix, timeRadix);
}
