import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { closeServer, systemClock } from '../../src/common/index.js';
import { CallerServer, type Exchange } from '../../src/gateway/caller-server.js';
import { formatHead, OpenConnection, waitFor } from '../support/index.js';

let server: CallerServer;
let connection: OpenConnection;
/** The server's end of the connection. */
let accepted: Socket;
/** Requests that were served, in order of arrival. */
let served: Exchange[];

beforeEach(async () => {
  served = [];
  server = new CallerServer(systemClock, 10, (exchange) => {
    served.push(exchange);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const accepting = once(server, 'connection');
  connection = await OpenConnection.open(`127.0.0.1:${port}`);
  [accepted] = (await accepting) as [Socket];
});

afterEach(async () => {
  connection.close();
  await closeServer(server);
});

const head = formatHead({ method: 'GET', path: '/', headers: { host: 'desk.example' } });

async function waitForRequests(count: number): Promise<void> {
  await waitFor(`${count} requests`, () => served.length >= count);
}

function answer(index: number): void {
  const response = served[index]?.response;
  if (response === undefined) {
    throw new Error(`there is no request ${index}`);
  }
  response.setHeader('connection', server.endsConnection(response) ? 'close' : 'keep-alive');
  response.end(`answer ${index}`);
}

describe('a server that is left by its callers', () => {
  // Guards against a connection that ends after the first of several requests that were sent without waiting for responses.
  it('answers all requests that a connection has brought before it ends', async () => {
    connection.write(head + head);
    await waitFor('both requests', () => server.exchanges.length === 2);
    server.leave();
    answer(0);
    await waitForRequests(2);
    answer(1);
    await connection.closed;
    expect(connection.received).toContain('answer 0');
    expect(connection.received).toContain('answer 1');
  });

  // Guards against requests that are passed on although the response before them ends their connection.
  it('serves nothing on a connection that it has said to end', async () => {
    connection.write(head);
    await waitForRequests(1);
    server.leave();
    const first = served[0]?.response;
    first?.writeHead(200, { connection: server.endsConnection(first) ? 'close' : 'keep-alive' });
    first?.write('begun');
    await waitFor('the response to begin', () => connection.received.includes('begun'));
    connection.write(head);
    await waitFor('the next request to arrive', () => {
      return accepted.bytesRead === 2 * head.length;
    });
    first?.end();
    await connection.closed;
    expect(served).toHaveLength(1);
  });

  // Guards against a request that is passed on behind a response that is cut, and ends with it without its own.
  it('serves no request of a connection that ends with the response before it', async () => {
    connection.write(head + head);
    await waitFor('both requests', () => server.exchanges.length === 2);
    const first = served[0]?.response;
    first?.write('begun');
    await waitFor('the response to begin', () => connection.received.includes('begun'));
    first?.destroy();
    await connection.closed;
    await waitFor('the connection to be forgotten', () => server.connectionCount === 0);
    expect(served).toHaveLength(1);
  });

  it('keeps a connection on which a request is arriving when its port closes', async () => {
    connection.write(head.slice(0, 10));
    await waitFor('a part of the request', () => accepted.bytesRead > 0);
    server.leave();
    server.close();
    connection.write(head.slice(10));
    await waitForRequests(1);
    answer(0);
    await connection.closed;
    expect(connection.received).toContain('answer 0');
  });

  // Guards against a response that is cut and looks complete, since only the end of its connection delimits it.
  it('resets a connection that owes a response when it gives up', async () => {
    connection.write(head);
    await waitForRequests(1);
    const response = served[0]?.response;
    response?.writeHead(200, { connection: 'close' });
    response?.write('begun');
    await waitFor('the response to begin', () => connection.received.includes('begun'));
    server.resetOwing();
    await connection.closed;
    expect(connection.isReset).toBe(true);
  });

  // Guards against a connection that stays open because the body of a request arrived after its response.
  it('ends a connection that owes nothing, though a body arrived after its response', async () => {
    const headers = { host: 'desk.example', 'content-length': '10' };
    connection.write(`${formatHead({ method: 'POST', path: '/', headers })}12345`);
    await waitForRequests(1);
    const request = served[0]?.request;
    request?.resume();
    answer(0);
    await waitFor('the answer', () => connection.received.includes('answer 0'));
    connection.write('67890');
    await waitFor('the rest of the body', () => request?.complete === true);
    server.leave();
    server.close();
    await waitFor('the end of the connection', () => connection.isEnded);
  });
});
