import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it, vi } from 'vitest';

import { createRandomSource, systemClock } from '../../src/common/index.js';
import { PeerStream } from '../../src/consensus/peer-stream.js';
import { ConsensusService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer } from '../../src/wire/index.js';
import { reservePort, SwallowingRelay, waitFor } from '../support/index.js';

const connectionTimeout = 200;
/** By how much the time of day moves ahead each time that it is read, in milliseconds. */
const clockStep = 1000;
/** Long enough for several attempts. */
const silentTime = 1500;

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  vi.restoreAllMocks();
  for (const close of cleanups.splice(0).reverse()) {
    await close();
  }
});

/** Opens a peer that counts the messages it gets. */
async function openPeer(): Promise<{ readonly address: string; readonly count: () => number }> {
  let received = 0;
  const address = `127.0.0.1:${await reservePort()}`;
  const server = createRpcServer({
    address,
    routes: (router) => {
      router.service(ConsensusService, {
        exchange: async (envelopes) => {
          for await (const envelope of envelopes) {
            received += envelope.to === 'b' ? 1 : 0;
          }
          return {};
        },
      });
    },
  });
  await server.open();
  cleanups.push(() => server.close());
  return { address, count: () => received };
}

/** The time of day moves ahead in steps, as after a suspension of the host; the steady clock does not. */
function stepClock(): void {
  const { now } = Date;
  let offset = 0;
  vi.spyOn(Date, 'now').mockImplementation(() => {
    offset += clockStep;
    return now() + offset;
  });
}

describe('the stream of messages to a peer', () => {
  // Guards against a stream that waits for ever for a ping on a connection which went silent while it was being opened.
  it('is opened again after a silent connection and a step of the clock', async () => {
    const peer = await openPeer();
    const relay = await SwallowingRelay.open(peer.address);
    cleanups.push(() => relay.close());
    relay.setMode('swallow');
    stepClock();
    const stream = new PeerStream({
      self: 'a',
      peer: 'b',
      address: relay.address,
      connectionTimeout,
      clock: systemClock,
      random: createRandomSource(1),
    });
    cleanups.push(() => stream.close());
    stream.open();
    await sleep(silentTime);
    relay.setMode('carry');
    await waitFor('a message at the peer', () => {
      stream.send({ type: 'greeting', sender: 'disk of a' });
      return peer.count() > 0;
    });
    expect(peer.count()).toBeGreaterThan(0);
  });
});
