import type { ServerResponse } from 'node:http';

import { discardBody } from './discard-body.js';

/**
 * Sends the whole body of a response at once, and ends the response when the body of its request has been read.
 * The end of a response may close its connection. If bytes of the request arrive after that, the kernel resets the connection, and a caller
 * that reads only after it has sent everything loses the response. The connection ends if the body is too long to be read.
 */
export function endAfterBody(response: ServerResponse, body: string | Uint8Array): void {
  const { req: request } = response;
  if (request.complete) {
    response.end(body);
    return;
  }
  response.write(body);
  discardBody(request, (isRead) => {
    if (!response.writableEnded) {
      response.end();
    }
    if (!isRead) {
      request.socket.destroySoon();
    }
  });
}
