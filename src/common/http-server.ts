import type { Server } from 'node:http';
import type { Http2Server } from 'node:http2';

import { splitAddress } from './address.js';
import { createFailure, FailureError } from './failure.js';

/** Opening and closing of servers, for shells. */

/** Listens at `ip:port`; rejects with a FailureError (`addressInUse`) when another process has the address. */
export function openServer(server: Server | Http2Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      const isInUse = error.code === 'EADDRINUSE';
      reject(isInUse ? new FailureError(createFailure('addressInUse', address)) : error);
    });
    server.listen(port, host, resolve);
  });
}

/** Closes the server and all its connections, whatever is in flight on them. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
