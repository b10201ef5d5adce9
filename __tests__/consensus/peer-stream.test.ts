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

/** How long a stopped peer's announcement has to arrive, in milliseconds. The peer closes its connections half a second after it. */
const announcementTime = 100;
/**
 * Timeout in milliseconds for the next stream; several times as long as two connection timeouts, which end a silent stream, and the
 * longest back-off.
 */
const reopeningLimit = 10_000;

/** Counts the messages it gets. */
interface Peer {
  readonly address: string;
  readonly count: () => number;
  readonly stop: () => void | Promise<void>;
}

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  vi.restoreAllMocks();
  for (const close of cleanups.splice(0).reverse()) {
    await close();
  }
});

async function openPeer(address: string): Promise<Peer> {
  let received = 0;
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
  return { address, count: () => received, stop: () => server.close() };
}

async function startPeer(): Promise<Peer> {
  const peer = await openPeer(`127.0.0.1:${await reservePort()}`);
  cleanups.push(peer.stop);
  return peer;
}

async function openRelay(peer: Peer): Promise<SwallowingRelay> {
  const relay = await SwallowingRelay.open(peer.address);
  cleanups.push(() => relay.close());
  return relay;
}

function openStream(address: string): PeerStream {
  const stream = new PeerStream({
    self: 'a',
    peer: 'b',
    address,
    connectionTimeout,
    clock: systemClock,
    random: createRandomSource(1),
  });
  cleanups.push(() => stream.close());
  stream.open();
  return stream;
}

/** Sends messages until the peer has got one more. */
async function reach(peer: Peer, stream: PeerStream): Promise<void> {
  const before = peer.count();
  await waitFor(
    'a message at the peer',
    () => {
      stream.send({ type: 'greeting', sender: 'disk of a' });
      return peer.count() > before;
    },
    reopeningLimit,
  );
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
    const peer = await startPeer();
    const relay = await openRelay(peer);
    relay.setMode('swallow');
    stepClock();
    const stream = openStream(relay.address);
    await sleep(silentTime);
    relay.setMode('carry');
    await reach(peer, stream);
    expect(peer.count()).toBeGreaterThan(0);
  });

  // Guards against a stream that stays open for ever on a connection that a device between the hosts has lost track of.
  it('is opened again after its connection went silent', async () => {
    const peer = await startPeer();
    const relay = await openRelay(peer);
    const stream = openStream(relay.address);
    await reach(peer, stream);
    expect(relay.swallowOpenConnections()).toBe(1);
    const before = peer.count();
    await reach(peer, stream);
    expect(peer.count()).toBeGreaterThan(before);
  });

  // Guards against a stream that stays open for ever, because no ping is sent on its session once the peer has announced its stop.
  it('is opened again after its connection went silent while the peer stopped', async () => {
    const stopped = await openPeer(`127.0.0.1:${await reservePort()}`);
    const relay = await openRelay(stopped);
    const stream = openStream(relay.address);
    await reach(stopped, stream);
    const stopping = stopped.stop();
    await sleep(announcementTime);
    relay.swallowOpenConnections();
    await stopping;
    const restarted = await openPeer(stopped.address);
    cleanups.push(restarted.stop);
    await reach(restarted, stream);
    expect(restarted.count()).toBeGreaterThan(0);
  });
});
