import { execFileSync } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { RelayProcess, reservePort } from './index.js';

const pause = 300;
const echoTimeout = 10_000;
/** An echo server at the first port, and a client of it that connects to the second one and writes what comes back. */
const echoProgram = `
  const { connect, createServer } = require('node:net');
  const [echoPort, clientPort] = process.argv.slice(1).map(Number);
  createServer((socket) => socket.pipe(socket)).listen(echoPort, '127.0.0.1', () => {
    const client = connect(clientPort, '127.0.0.1', () => client.write('carried'));
    client.once('data', (bytes) => process.stdout.write(bytes, () => process.exit()));
    client.once('error', () => process.exit(1));
    client.once('close', () => process.exit(1));
  });
`;

let relays: RelayProcess;

beforeEach(async () => {
  relays = await RelayProcess.start();
});

afterEach(async () => {
  await relays.stop();
});

/** Runs the echo while this process runs no code. */
function echo(echoPort: number, relay: string): string {
  const ports = [String(echoPort), relay.slice(relay.lastIndexOf(':') + 1)];
  const options = { timeout: echoTimeout, encoding: 'utf8' } as const;
  return execFileSync(process.execPath, ['-e', echoProgram, ...ports], options);
}

describe('relays in a process of their own', () => {
  // Guards against hosts that are cut off from each other because the process of the test gets no processor time.
  it('carry bytes while the process of the test runs no code', async () => {
    const port = await reservePort();
    const relay = await relays.open(`127.0.0.1:${port}`);
    expect(echo(port, relay)).toBe('carried');
  });

  it('refuse and carry as they are told', async () => {
    const port = await reservePort();
    const relay = await relays.open(`127.0.0.1:${port}`);
    await relays.setMode([relay], 'refuse');
    expect(() => echo(port, relay)).toThrow();
    await relays.setMode([relay], 'carry');
    expect(echo(port, relay)).toBe('carried');
  });

  // Guards against a stall of the relays themselves that nothing shows.
  it('tell how long they stood still', async () => {
    await relays.open(`127.0.0.1:${await reservePort()}`);
    relays.signal('SIGSTOP');
    await sleep(pause);
    relays.signal('SIGCONT');
    expect(await relays.measureLongestStall()).toBeGreaterThan(pause / 2);
  });

  it('fail their commands when the process is gone', async () => {
    relays.signal('SIGKILL');
    await expect(relays.measureLongestStall()).rejects.toThrow();
  });
});
