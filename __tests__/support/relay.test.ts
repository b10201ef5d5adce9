import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { SwallowingRelay, waitFor } from './index.js';

const closers: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) {
    await close();
  }
});

describe('the swallowing relay', () => {
  it('permanently silences open connections while new ones work', async () => {
    const relay = await openRelayToEcho();
    const first = await connectClient(relay.address);
    first.socket.write('one');
    await waitFor('the echo', () => first.received() === 'one');

    expect(relay.swallowOpenConnections()).toBe(1);
    first.socket.write('two');
    const second = await connectClient(relay.address);
    second.socket.write('three');
    await waitFor('the echo of the new one', () => second.received() === 'three');
    expect(first.received()).toBe('one');
    expect(first.socket.destroyed).toBe(false);
  });

  it('refuses new connections and resets open ones in refuse mode', async () => {
    const relay = await openRelayToEcho();
    const first = await connectClient(relay.address);
    first.socket.write('one');
    await waitFor('the echo', () => first.received() === 'one');

    relay.setMode('refuse');
    await waitFor('the reset', () => first.socket.destroyed);
    relay.setMode('carry');
    const second = await connectClient(relay.address);
    second.socket.write('two');
    await waitFor('the echo after healing', () => second.received() === 'two');
  });
});

async function openRelayToEcho(): Promise<SwallowingRelay> {
  const echo = createServer((socket) => socket.on('error', () => undefined).pipe(socket));
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  const address = echo.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const relay = await SwallowingRelay.open(`127.0.0.1:${port}`);
  closers.push(
    () => void echo.close(),
    () => relay.close(),
  );
  return relay;
}

async function connectClient(
  address: string,
): Promise<{ readonly socket: Socket; readonly received: () => string }> {
  const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) });
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    text += bytes.toString();
  });
  await once(socket, 'connect');
  closers.push(() => void socket.destroy());
  return { socket, received: () => text };
}
