import type { Server } from 'node:http';

import { limitConnections } from './connection-limit.js';
import { discardBody } from './discard-body.js';

/** Bounds what clients of an HTTP server can take of its process beside the bodies that it asks for. */
export function guardServer(server: Server, maximumConnections: number): void {
  limitConnections(server, maximumConnections);
  server.prependListener('request', (request, response) => {
    response.prependOnceListener('finish', () => {
      if (!request.complete) {
        discardBody(request, (isRead) => {
          if (!isRead) {
            request.socket.destroy();
          }
        });
      }
    });
  });
}
