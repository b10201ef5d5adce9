import { afterEach, describe, expect, it } from 'vitest';

import { Fleet, waitFor } from '../support/index.js';

const gateways = 2;
const crashingText = 'crash the engine';
/** Crashes after which no gateway may send the segment any more. */
const crashLimit = 5;
/** Most further crashes that are accepted. */
const maximumLateCrashes = 3;
const callerAttempts = 12;

let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

/** Starts the engines again that have ended, and returns their number. */
function restartEngines(running: Fleet): number {
  const ended = running.list('engine').filter(({ program }) => !program.isRunning);
  ended.forEach(({ name }) => running.start(name));
  return ended.length;
}

async function isAnswered(running: Fleet, gateway: number): Promise<boolean> {
  const response = await running.chat({ gateway, earlier: ['You are a clerk.'] });
  await response.text();
  return response.status === 200;
}

// Guards against requests through sidecars that share one message and crash engine after engine, no two requests alike.
describe('a message that crashes the engine that answers it', () => {
  it('is not sent any more after five crashes, while other requests of the same caller are served', async () => {
    const running = await Fleet.start({
      gateways,
      engineHosts: 4,
      replicaSize: 2,
      serviceHosts: 0,
      crashOn: crashingText,
    });
    fleet = running;
    let crashes = 0;
    for (let attempt = 0; attempt < callerAttempts; attempt += 1) {
      const gateway = 1 + (attempt % gateways);
      const response = await running.chat({
        gateway,
        earlier: ['You are a clerk.', `${crashingText}, please`],
        content: `question ${attempt}`,
      });
      await response.text();
      await waitFor('an answer to another request through each gateway', async () => {
        crashes += restartEngines(running);
        return (await isAnswered(running, 1)) && (await isAnswered(running, 2));
      });
    }
    expect(crashes).toBeGreaterThan(0);
    expect(crashes).toBeLessThanOrEqual(crashLimit + maximumLateCrashes);
  });
});
