import type { Server } from 'node:http';
import type { Http2Server } from 'node:http2';

import { parseAddressOrThrow } from './address.js';
import { createFailure, FailureError } from './failure.js';

/** Promise-based opening and closing of HTTP servers, for the I/O shells. */

/** Listens on `ip:port`. Rejects with a FailureError (`addressInUse`) if the address is already in use. */
export function openServer(server: Server | Http2Server, address: string): Promise<void> {
  const { host, port } = parseAddressOrThrow(address);
  return new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      const isInUse = error.code === 'EADDRINUSE';
      reject(isInUse ? new FailureError(createFailure('addressInUse', address)) : error);
    });
    server.listen(port, host, resolve);
  });
}

/** Closes the server and all its connections, including those with requests in flight. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
