/** The cheapest thing that could stand where gateway and sidecar do: Node's `http` in, `undici` out, no decisions. */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { Pool } from 'undici';

const connections = 256;

/** Starts a proxy on a free loopback port and returns its origin. */
export async function openBareProxy(targetOrigin: string): Promise<string> {
  const pool = new Pool(targetOrigin, { connections, pipelining: 1 });
  const server = createServer((request, response) => {
    forward(pool, request, response).catch(() => response.destroy());
  });
  return listen(server);
}

async function listen(server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  if (typeof address !== 'object' || address === null) {
    throw new Error('the proxy has no port');
  }
  return `http://127.0.0.1:${address.port}`;
}

async function forward(
  pool: Pool,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  await pool.stream(
    {
      method: 'POST',
      path: request.url ?? '/',
      headers: { 'content-type': request.headers['content-type'] ?? 'application/json' },
      body: request,
    },
    ({ statusCode, headers }) => {
      response.writeHead(statusCode, { 'content-type': String(headers['content-type']) });
      return response;
    },
  );
}
