import type { WallTime } from '../../common/index.js';
import type { RequestId } from '../../model/index.js';

/**
 * Request identifiers carry the wall time at which their gateway made them.
 *
 * A message on a connection that went silent can arrive after any time. A sidecar cannot remember tombstones for ever,
 * so it has to tell such a message by its age; without the age, an attempt that was declared not run would start
 * once its tombstone was forgotten.
 */

const timeRadix = 36;

/** Makes an identifier from the wall time and something unique. */
export function createRequestId(at: WallTime, unique: string): RequestId {
  return `${Math.floor(at).toString(timeRadix)}-${unique}`;
}

/** Wall time at which the identifier was made; undefined when it is not one of ours. */
export function readRequestTime(requestId: RequestId): WallTime | undefined {
  const [prefix] = requestId.split('-', 1);
  if (prefix === undefined || !/^[0-9a-z]{1,11}$/.test(prefix)) {
    return undefined;
  }
  return Number.parseInt(prefix, timeRadix);
}
