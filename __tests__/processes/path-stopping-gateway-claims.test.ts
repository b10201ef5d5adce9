import { afterEach, describe, expect, it } from 'vitest';

import { callsPath } from '../../src/stand-in/index.js';
import { Fleet, SwallowingRelay, waitFor } from '../support/index.js';
import { waitForClosedPort } from './gateway-callers.js';

/** A gateway that gets SIGTERM while a call with an idempotency key is under way. */

const duplicateInProgress = 1011;
const duplicateFinished = 1012;

let fleet: Fleet;
let relays: readonly SwallowingRelay[] = [];

afterEach(async () => {
  await fleet.stop();
  await Promise.all(relays.map((relay) => relay.close()));
});

async function relayFirstGateway(
  gateway: string,
  addresses: readonly string[],
): Promise<readonly string[]> {
  if (gateway !== 'gateway-1') {
    return addresses;
  }
  relays = await Promise.all(addresses.map((address) => SwallowingRelay.open(address)));
  return relays.map(({ address }) => address);
}

function setRelays(mode: 'carry' | 'swallow'): void {
  relays.forEach((relay) => {
    relay.setMode(mode);
  });
}

async function waitForCall(path: string): Promise<void> {
  await waitFor('the call to reach the service', async () => {
    const response = await fetch(`http://${fleet.member('service-1').address}${callsPath}`);
    return path in ((await response.json()) as object);
  });
}

async function readDuplicateCode(path: string): Promise<number | undefined> {
  const response = await fleet.callService(path, 'quote', { 'idempotency-key': 'one' }, 2);
  const { error } = (await response.json()) as { readonly error?: { readonly code: number } };
  return error?.code;
}

describe('a gateway that stops', () => {
  // Guards against a key whose outcome no other gateway learns, because the gateway left before the replicated log had it.
  it('records the outcome of a call with a key', async () => {
    fleet = await Fleet.start({
      gateways: 2,
      serviceAnswerMilliseconds: 1500,
      relayGatewayControl: relayFirstGateway,
    });
    const gateway = fleet.member('gateway-1').program;
    const call = fleet.callService('/quotes/1', 'quote', { 'idempotency-key': 'one' });
    await waitForCall('/quotes/1');
    gateway.signal('SIGTERM');
    await waitForClosedPort(fleet);
    setRelays('swallow');
    const response = await call;
    expect(response.status).toBe(200);
    await response.text();
    expect(await readDuplicateCode('/quotes/1')).toBe(duplicateInProgress);
    setRelays('carry');
    expect(await gateway.waitForExit()).toEqual({ code: 0, signal: null });
    expect(await readDuplicateCode('/quotes/1')).toBe(duplicateFinished);
  });
});
