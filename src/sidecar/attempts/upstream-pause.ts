import { parseRetryAfter, type Milliseconds } from '../../common/index.js';
import type { HeaderField } from './messages.js';

/** Keeps the pause that the local upstream asked for; performs no I/O. */

/** Status with which an upstream rejects a request; only there `Retry-After` applies to all requests of this sidecar. */
const unavailableStatus = 503;

export class UpstreamPause {
  #until: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Reads the head of a response. A pause is never shortened. */
  noteHead(status: number, headers: readonly HeaderField[], now: Milliseconds): void {
    const field = headers.find(({ name }) => name.toLowerCase() === 'retry-after');
    const pause = parseRetryAfter(field?.value);
    if (status === unavailableStatus && pause !== undefined) {
      this.#until = Math.max(this.#until, now + pause);
    }
  }

  /** Time until the pause is over; 0 if there is none. */
  remaining(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#until - now);
  }
}
