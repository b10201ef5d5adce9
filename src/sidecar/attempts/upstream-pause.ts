import { parseRetryAfter, type Milliseconds } from '../../common/index.js';
import type { HeaderField } from './messages.js';

/** Keeps the pause that the local upstream asked for; performs no I/O. */

/** Status with which an upstream rejects a request; only there `Retry-After` applies to all requests of this sidecar. */
const unavailableStatus = 503;

/** The pause that a response asks for; undefined if it asks for none. */
export function readPause(
  status: number,
  headers: readonly HeaderField[],
): Milliseconds | undefined {
  const field = headers.find(({ name }) => name.toLowerCase() === 'retry-after');
  return status === unavailableStatus ? parseRetryAfter(field?.value) : undefined;
}

export class UpstreamPause {
  #until: Milliseconds = Number.NEGATIVE_INFINITY;

  /** A pause is never shortened. */
  note(pause: Milliseconds, now: Milliseconds): void {
    this.#until = Math.max(this.#until, now + pause);
  }

  /** Time until the pause is over; 0 if there is none. */
  remaining(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#until - now);
  }
}
