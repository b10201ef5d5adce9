import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { resultCodes } from '../../src/common/index.js';
import { createFleetConfiguration, Fleet, SwallowingRelay, waitFor } from '../support/index.js';
import { readInForce, waitForGroups, waitForInForce } from './fleet-views.js';

/** A gateway that reaches sidecars and callers, and for a while no control host. */

const cutGateway = 'gateway-1';
const placements = 2;

let fleet: Fleet;
let relays: readonly SwallowingRelay[] = [];

beforeEach(async () => {
  fleet = await Fleet.start({
    gateways: 2,
    relayGatewayControl: async (gateway, addresses) => {
      if (gateway !== cutGateway) {
        return addresses;
      }
      relays = await Promise.all(addresses.map((address) => SwallowingRelay.open(address)));
      return relays.map(({ address }) => address);
    },
  });
  await waitForGroups(fleet, placements);
});

afterEach(async () => {
  await fleet.stop();
  await Promise.all(relays.map((relay) => relay.close()));
});

/** The configuration of the fleet, with the model closed to its only account. */
function createClosedConfiguration(): object {
  const configuration = createFleetConfiguration(4) as { readonly groups: readonly object[] };
  const reachableBy = { accounts: { tier: ['none'] } };
  return {
    ...configuration,
    groups: configuration.groups.map((group) => ({ ...group, reachableBy })),
  };
}

function setRelays(mode: 'carry' | 'swallow'): void {
  relays.forEach((relay) => {
    relay.setMode(mode);
  });
}

async function readResult(gateway: number): Promise<number> {
  const response = await fleet.chat({ gateway });
  await response.text();
  return Number(response.headers.get('pistachiospoke-result'));
}

describe('a gateway cut off from control', () => {
  /*
   * Symptom: an account is served by what it was shut out from, long after the change was accepted.
   * Sequence: the gateway's connections to control go silent; a change shuts the account out; the account comes
   * through this gateway.
   * Cause: nobody but control could tell the gateway, and it believes what it heard last.
   */
  it('has its attempts refused by sidecars that know a newer revision, and has it once it is back', async () => {
    expect(await readResult(1)).toBe(resultCodes.ok.number);
    setRelays('swallow');
    await fleet.apply(createClosedConfiguration());
    const { revision } = await readInForce(fleet);
    await waitFor('every other watcher to have the change', async () => {
      const { watchers } = await readInForce(fleet);
      return watchers.every((other) => other.watcher === cutGateway || other.revision === revision);
    });
    expect(await readResult(1)).toBe(resultCodes.staleConfiguration.number);
    expect(await readResult(2)).toBe(resultCodes.notReachable.number);

    setRelays('carry');
    await waitForInForce(fleet, revision);
    expect(await readResult(1)).toBe(resultCodes.notReachable.number);
    await fleet.apply(createFleetConfiguration(4));
    await waitForInForce(fleet, revision + 1);
    expect(await readResult(1)).toBe(resultCodes.ok.number);
  });

  /*
   * Symptom: a caller with a key is told to come back and not when, or waits until the deadline.
   * Sequence: the gateway cannot reach control; a call with an Idempotency-Key comes.
   * Cause: a claim needs the replicated log.
   */
  it('answers a call with a key at once that it was not run, and when to come again', async () => {
    setRelays('swallow');
    const response = await fleet.callService('/quotes/1', '', { 'idempotency-key': 'one' });
    const text = await response.text();
    expect(text).toContain(`"code":${resultCodes.claimUnavailable.number}`);
    expect(response.status).toBe(resultCodes.claimUnavailable.httpStatus);
    expect(Number(response.headers.get('retry-after'))).toBeGreaterThan(0);
    setRelays('carry');
    await waitFor('the call to run', async () => {
      const again = await fleet.callService('/quotes/1', '', { 'idempotency-key': 'one' });
      return (await again.text()).includes('"path":"/quotes/1"') && again.status === 200;
    });
  });
});
