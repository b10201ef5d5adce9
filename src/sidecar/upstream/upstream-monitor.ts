import type { Milliseconds } from '../../common/index.js';
import type { Address, Load, Upstream } from '../../model/index.js';
import type { Announcement } from './announcement.js';

/** Decides whether the local upstream is present; performs no I/O. */

/** An upstream that has not announced itself for this long counts as absent. */
export const announcementTimeout: Milliseconds = 2000;

/** State of the local upstream as known to the sidecar. */
export type UpstreamState =
  | { readonly type: 'absent' }
  | {
      readonly type: 'present';
      readonly upstream: Upstream;
      readonly address: Address;
      readonly isHealthy: boolean;
      readonly load: Load;
    };

/** Keeps the last announcement until it expires. */
export class UpstreamMonitor {
  #last: { readonly announcement: Announcement; readonly at: Milliseconds } | undefined;

  recordAnnouncement(announcement: Announcement, now: Milliseconds): void {
    this.#last = { announcement, at: now };
  }

  /** A failed call is stronger evidence than a late announcement: the upstream counts as absent until its next announcement. */
  reportUnreachable(): void {
    this.#last = undefined;
  }

  read(now: Milliseconds): UpstreamState {
    if (this.#last === undefined || now - this.#last.at > announcementTimeout) {
      return { type: 'absent' };
    }
    const { announcement } = this.#last;
    const { address, isHealthy, load } = announcement;
    return { type: 'present', upstream: describeUpstream(announcement), address, isHealthy, load };
  }
}

function describeUpstream(announcement: Announcement): Upstream {
  if (announcement.type === 'service') {
    return { type: 'service', service: announcement.service };
  }
  const { loaded, checksFencingNumber } = announcement;
  return { type: 'engine', loaded, checksFencingNumber };
}
