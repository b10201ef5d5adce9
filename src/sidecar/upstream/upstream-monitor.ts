import type { Milliseconds } from '../../common/index.js';
import type { Address, Load, Upstream } from '../../model/index.js';
import type { Announcement } from './announcement.js';

/** Decides whether the upstream beside the sidecar is there; free of I/O. */

/** An upstream that announced nothing for this long counts as gone. */
export const announcementLimit: Milliseconds = 2000;

/** What the sidecar knows of the upstream beside it. */
export type UpstreamState =
  | { readonly type: 'absent' }
  | {
      readonly type: 'present';
      readonly upstream: Upstream;
      readonly address: Address;
      readonly isHealthy: boolean;
      readonly load: Load;
    };

/** Keeps the last announcement and forgets it when no other follows. */
export class UpstreamMonitor {
  #last: { readonly announcement: Announcement; readonly at: Milliseconds } | undefined;

  announce(announcement: Announcement, now: Milliseconds): void {
    this.#last = { announcement, at: now };
  }

  /** A failed call proves more than a late announcement: the upstream counts as gone until it announces itself again. */
  reportUnreachable(): void {
    this.#last = undefined;
  }

  read(now: Milliseconds): UpstreamState {
    if (this.#last === undefined || now - this.#last.at > announcementLimit) {
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
