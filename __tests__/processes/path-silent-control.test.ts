import { afterEach, describe, expect, it } from 'vitest';

import { createFleetConfiguration, Fleet, SwallowingRelay, waitFor } from '../support/index.js';

/** Control that gateways and sidecars can no longer hear, though every process is up. */

/** Several leases, and longer than the silence after which control suspects a host. */
const cutMilliseconds = 5000;

let fleet: Fleet | undefined;
let relays: readonly SwallowingRelay[] = [];

afterEach(async () => {
  // Relays first: a process that stops waits for the other end of each connection to close.
  await Promise.all(relays.map((relay) => relay.close()));
  await fleet?.stop();
  fleet = undefined;
  relays = [];
});

/** Gateways and sidecars reach each control host by a relay only; control hosts and operators reach each other. */
async function startFleet(): Promise<Fleet> {
  fleet = await Fleet.start({
    controls: 3,
    serviceHosts: 0,
    relayControl: async (addresses) => {
      relays = await Promise.all(addresses.map((address) => SwallowingRelay.open(address)));
      return relays.map(({ address }) => address);
    },
  });
  return fleet;
}

/** Declares another name for the model, which callers can only use once it is in force. */
async function declareModel(running: Fleet, model: string): Promise<void> {
  const configuration = createFleetConfiguration(4) as { readonly groups: readonly object[] };
  const groups = configuration.groups.map((group) => ({
    ...group,
    carries: { model, version: '1' },
  }));
  await running.apply({ ...configuration, groups });
}

async function listModels(running: Fleet): Promise<string> {
  const response = await fetch(`${running.origin()}/v1/models`, {
    headers: { authorization: 'Bearer demo-key' },
  });
  return response.text();
}

describe('control that cannot be heard', () => {
  // Symptom: one gateway serves by an old configuration for ever. Sequence: something between it and control loses track
  // of its open connections; a change is accepted. Cause: TCP says nothing of a peer whose packets vanish.
  it('is heard again by new connections when the open ones go silent for good', async () => {
    const running = await startFleet();
    relays.forEach((relay) => relay.swallowOpenConnections());
    await declareModel(running, 'second-model');
    await waitFor('the change at the gateway', async () =>
      (await listModels(running)).includes('second-model'),
    );
  });

  // Symptom: a cut of control becomes an outage of serving, or its end brings back what was replaced. Sequence: gateway and
  // sidecars hear no control host for longer than a lease; a change is accepted meanwhile; the cut ends.
  // Cause: leases or routes that need control to be there; a control host that is behind.
  it('stops changes, not serving, until it can be heard', async () => {
    const running = await startFleet();
    relays.forEach((relay) => {
      relay.setMode('swallow');
    });
    await declareModel(running, 'second-model');
    const end = performance.now() + cutMilliseconds;
    while (performance.now() < end) {
      const response = await running.chat();
      const answer = { status: response.status, text: await response.text() };
      // Both in one check, so that a refusal shows its code.
      expect(answer).toEqual({ status: 200, text: expect.stringContaining('hello#0') as string });
    }
    relays.forEach((relay) => {
      relay.setMode('carry');
    });
    await waitFor('the change at the gateway', async () =>
      (await listModels(running)).includes('second-model'),
    );
  });
});
