import { request } from 'undici';
import { pino } from 'pino';
import { Err, Ok, type Result } from 'ts-results';
import { afterEach, describe, expect, it } from 'vitest';

import {
  createFailure,
  InboundMemory,
  systemClock,
  type Failure,
  type ManagedPart,
} from '../../src/common/index.js';
import { StandbyControl, type EvacuationAction } from '../../src/control/index.js';
import {
  createOperatorServer,
  type OperatorServerOptions,
} from '../../platform/operator-server.js';
import { reservePort } from '../support/index.js';

let server: ManagedPart | undefined;

afterEach(async () => {
  await server?.close();
  server = undefined;
});

async function open(routing: OperatorServerOptions['routing']): Promise<string> {
  const address = `127.0.0.1:${await reservePort()}`;
  const inbound = new InboundMemory(1_000_000, systemClock);
  const logger = pino({ level: 'silent' });
  server = createOperatorServer({ address, routing, inbound, maximumConnections: 10, logger });
  await server.open();
  return address;
}

/** Routing that answers all evacuation orders alike and records them. */
function createRouting(result: Result<boolean, Failure>, canEvacuate = true) {
  const orders: string[] = [];
  return Object.assign(new StandbyControl(canEvacuate), {
    orders,
    setEvacuation: (failureDomain: string, action: EvacuationAction) => {
      orders.push(`${action} ${failureDomain}`);
      return Promise.resolve(result);
    },
  });
}

async function post(address: string, path: string) {
  const { statusCode, headers, body } = await request(`http://${address}${path}`, {
    method: 'POST',
  });
  await body.dump();
  return { status: statusCode, retryAfter: headers['retry-after'] };
}

describe('calls to start and end evacuations', () => {
  // Guards against a call that orders the opposite, or another domain, and against an acknowledgement that operators don't take for one.
  it('order what their path says', async () => {
    const routing = createRouting(new Ok(true));
    const address = await open(routing);
    expect((await post(address, '/Evacuation.Start/east')).status).toBe(200);
    expect((await post(address, '/Evacuation.End/east')).status).toBe(200);
    expect(routing.orders).toEqual(['start east', 'end east']);
  });

  // Guards against operators that give up an order that would succeed later, or resend one that never will.
  it.each([
    ['unknownFailureDomain', undefined, 400, undefined],
    ['noQuorum', 1000, 503, undefined],
    ['changeUncertain', 1000, 503, undefined],
    ['evacuationOutdated', undefined, 503, undefined],
    ['evacuationTooSoon', 1100, 503, '2'],
  ] as const)('are answered for %s', async (code, delay, status, retryAfter) => {
    const routing = createRouting(new Err(createFailure(code, '', delay)));
    const address = await open(routing);
    expect(await post(address, '/Evacuation.Start/east')).toEqual({ status, retryAfter });
  });

  // Guards against new answers on deployments without evacuations.
  it('are unknown without the setting', async () => {
    const routing = createRouting(new Ok(true), false);
    const address = await open(routing);
    expect((await post(address, '/Evacuation.Start/east')).status).toBe(404);
    expect((await post(address, '/Evacuation.End/east')).status).toBe(404);
    expect(routing.orders).toEqual([]);
  });

  // Guards against an operator that gives up because a control host without a disk says that the call doesn't exist.
  it('are refused by a host without a disk, so that another one is asked', async () => {
    const address = await open(new StandbyControl(true));
    expect((await post(address, '/Evacuation.Start/east')).status).toBe(503);
  });
});
