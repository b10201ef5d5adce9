/** An upstream of the test in place of the stand-in of a fleet's plain service. */
import { request } from 'undici';

import type { Fleet } from './fleet.js';
import { fleetService } from './fleet-settings.js';

const announceInterval = 300;
const capacity = 64;

export class AnnouncedUpstream {
  readonly #timer: NodeJS.Timeout;

  /** Ends the stand-in and announces the given `ip:port` to its sidecar, until it is closed. `number`: that of the service's host. */
  constructor(fleet: Fleet, number: number, address: string) {
    fleet.member(`service-${number}`).program.signal('SIGKILL');
    const { externalAddress } = fleet.member(`sidecar-desk-${number}`);
    const announce = (): void => {
      void announceService(externalAddress, address);
    };
    announce();
    this.#timer = setInterval(announce, announceInterval);
  }

  close(): void {
    clearInterval(this.#timer);
  }
}

async function announceService(sidecar: string, address: string): Promise<void> {
  const load = { running: 0, queued: 0, capacity };
  const announcement = { type: 'service', service: fleetService, address, isHealthy: true, load };
  try {
    const { body } = await request(`http://${sidecar}/announce`, {
      method: 'POST',
      body: JSON.stringify(announcement),
    });
    await body.dump();
  } catch {
    // The sidecar may be busy; the next announcement follows.
  }
}
