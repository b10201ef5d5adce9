import { createServer } from 'node:http';

import type { Registry } from 'prom-client';

import { closeServer, openServer } from './http-server.js';
import { guardServer } from './inbound/index.js';
import type { ManagedPart } from './lifecycle.js';

/** Connections of those who collect metrics, every few seconds. */
const maximumConnections = 64;

/** Serves the metrics of a process over HTTP in the Prometheus text format. Does nothing without an address. */
export function createMetricsPage(address: string | undefined, registry: Registry): ManagedPart {
  const name = 'metrics page';
  if (address === undefined) {
    return { name, open: () => undefined, close: () => undefined };
  }
  const server = createServer((_, response) => {
    registry.metrics().then(
      (text) => {
        response.writeHead(200, { 'content-type': registry.contentType }).end(text);
      },
      (error: unknown) => {
        response.writeHead(500).end(String(error));
      },
    );
  });
  guardServer(server, maximumConnections);
  return { name, open: () => openServer(server, address), close: () => closeServer(server) };
}
