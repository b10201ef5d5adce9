/** Free loopback ports for processes that must be told their port before they start. */
import { once } from 'node:events';
import { createServer } from 'node:net';

/**
 * Below the ports that the system gives to outgoing connections (32768 and up under Linux).
 * A port from among those can be taken by any connection between its reservation and its use: the process then
 * does not start (EADDRINUSE), seen once on a busy machine.
 */
const firstPort = 10_000;
const portCount = 22_000;
/** Test processes that run side by side begin this far apart. */
const portsPerProcess = 499;

let next = (process.pid * portsPerProcess) % portCount;

/** A loopback port that was free just now and that no other call of this process was given. */
export async function reservePort(): Promise<number> {
  for (;;) {
    const port = firstPort + next;
    next = (next + 1) % portCount;
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
