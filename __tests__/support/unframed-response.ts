/** Responses whose end is the end of their connection, of upstreams that use Node's HTTP server. */
import type { ServerResponse } from 'node:http';

/** Long enough for what was written to arrive before a reset. */
const deliveryTime = 30;

export function beginUnframed(
  response: ServerResponse,
  contentType = 'text/event-stream',
  headers: Readonly<Record<string, string>> = {},
): void {
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, { 'content-type': contentType, connection: 'close', ...headers });
}

/** Writes a part of a response, and resets its connection after the part has arrived. */
export function writeAndReset(response: ServerResponse, text: string): void {
  response.write(text);
  setTimeout(() => response.socket?.resetAndDestroy(), deliveryTime);
}
