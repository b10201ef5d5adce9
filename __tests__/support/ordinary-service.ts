/** Shows that a fleet still serves after clients that do not behave. */
import type { Fleet } from './fleet.js';
import { waitFor } from './wait.js';

/** Callers try again after a refusal or a closed connection. */
export async function waitForOrdinaryService(fleet: Fleet): Promise<void> {
  await waitFor('an ordinary request to be answered', async () => {
    const response = await fleet.chat();
    await response.text();
    return response.status === 200;
  });
}
