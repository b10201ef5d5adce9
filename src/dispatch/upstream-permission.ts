import type { Milliseconds } from '../common/index.js';

/** What the choice of an upstream needs to know about permission to send there. Upstreams are identified by instance. */

/** Rate limits of upstreams. */
export interface UpstreamPermits {
  /** Whether one more request may be sent to the upstream; true if it has no limit. */
  maySend: (upstream: string, now: Milliseconds) => boolean;
  /** Counts a request that is eligible for the upstream. */
  noteWanted: (upstream: string) => void;
  /** Whether the upstream counts as cold. */
  isCold: (upstream: string, now: Milliseconds) => boolean;
}

/** Pauses and departures that upstreams have announced. */
export interface UpstreamAvailability {
  isLeaving: (upstream: string) => boolean;
  /** End of the pause that the upstream asked for; undefined if there is none now. */
  pausedUntil: (upstream: string, now: Milliseconds) => Milliseconds | undefined;
  /** Undefined if the upstream may be sent requests. */
  findUnavailability: (upstream: string, now: Milliseconds) => 'paused' | 'leaving' | undefined;
}
