import { request } from 'undici';

import type { Announcement } from '../sidecar/upstream/index.js';

/** Announces a stand-in upstream to its sidecar. */

const announceInterval = 400;

/** Repeats the announcement until the returned function is called. */
export function startAnnouncing(
  sidecar: string,
  createAnnouncement: () => Announcement,
): () => void {
  const send = (): void => {
    void announce(sidecar, createAnnouncement());
  };
  send();
  const timer = setInterval(send, announceInterval);
  return () => {
    clearInterval(timer);
  };
}

/** Failures are ignored: the sidecar may not be running yet, and the next announcement reaches it. */
async function announce(sidecar: string, announcement: Announcement): Promise<void> {
  try {
    const response = await request(`http://${sidecar}/announce`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(announcement),
    });
    await response.body.dump();
  } catch {
    return;
  }
}
