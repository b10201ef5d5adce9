/** Reserves free loopback ports for processes whose port must be known before they start. */
import { once } from 'node:events';
import { createServer } from 'node:net';

/**
 * The range lies below the ephemeral ports of outgoing connections (32768 and up on Linux).
 * Any connection can take an ephemeral port between its reservation and its use: the process then fails to start
 * with EADDRINUSE, as seen once on a busy machine.
 * It begins above 10080: `fetch` refuses to call the ports that the Fetch standard blocks, and this is the last one.
 */
export const portRange = { first: 10_081, count: 21_900 } as const;
/** Distance between the first ports of test processes with consecutive ids, which run in parallel. */
const processPortStride = 499;

let nextOffset = (process.pid * processPortStride) % portRange.count;

/** Returns a loopback port that is currently free and that this process has not reserved before. */
export async function reservePort(): Promise<number> {
  for (;;) {
    const port = portRange.first + nextOffset;
    nextOffset = (nextOffset + 1) % portRange.count;
    if (await isFree(port)) {
      return port;
    }
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, '127.0.0.1');
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}
