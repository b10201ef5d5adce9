import { request } from 'undici';

import type { Announcement } from '../sidecar/upstream/index.js';

/** Announces a stand-in to the sidecar beside it. */

const announceInterval = 400;

/** Repeats the announcement until the answer is called. */
export function startAnnouncing(sidecar: string, describe: () => Announcement): () => void {
  const send = (): void => {
    void announce(sidecar, describe());
  };
  send();
  const timer = setInterval(send, announceInterval);
  return () => {
    clearInterval(timer);
  };
}

/** The sidecar may not be there yet; the next announcement reaches it. */
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
