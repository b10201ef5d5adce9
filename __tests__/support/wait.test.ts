import { createServer, type AddressInfo } from 'node:net';

import { describe, expect, it } from 'vitest';

import { waitFor } from './index.js';

const timeout = 200;

/** A loopback port at which nothing listens. */
async function findClosedPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

describe('the message of a wait that timed out', () => {
  // Guards against a red test that says no more than "fetch failed".
  it('names the cause of the last error', async () => {
    const port = await findClosedPort();
    const wait = waitFor('a response', () => fetch(`http://127.0.0.1:${port}`), timeout);
    await expect(wait).rejects.toThrow(
      /waiting for a response; last error \d+\.\d s ago: fetch failed: connect ECONNREFUSED/,
    );
  });

  it('says nothing of errors if there was none', async () => {
    const wait = waitFor('a response', () => undefined, timeout);
    await expect(wait).rejects.toThrow(/waiting for a response$/);
  });
});
