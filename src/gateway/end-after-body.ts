import type { ServerResponse } from 'node:http';

import type { Milliseconds } from '../common/index.js';

/** How long the rest of a body is read after its request has been refused. */
const maximumReadPeriod: Milliseconds = 5000;

/**
 * Sends the whole body of a response at once, and ends the response when the body of its request has been read.
 * The end of a response may close its connection. If bytes of the request arrive after that, the kernel resets the connection, and a caller
 * that reads only after it has sent everything loses the response.
 */
export function endAfterBody(response: ServerResponse, body: string | Uint8Array): void {
  const { req: request } = response;
  if (request.complete) {
    response.end(body);
    return;
  }
  response.write(body);
  const end = (): void => {
    clearTimeout(timer);
    if (!response.writableEnded) {
      response.end();
    }
  };
  const timer = setTimeout(end, maximumReadPeriod);
  request.once('close', end);
  response.once('close', end);
  request.resume();
}
