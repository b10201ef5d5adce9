import { Server, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { guardServer, type Clock, type Milliseconds } from '../common/index.js';

/** An HTTP server that knows which responses it owes its callers. */

/**
 * `receiving`: the body has not arrived completely. `answering`: the response is not written. `sending`: it is written, and bytes of it
 * wait for the caller to read.
 */
export type ExchangePhase = 'receiving' | 'answering' | 'sending';

/** A request whose head has been read and whose response has not been sent. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly receivedAt: Milliseconds;
}

/** Requests that a caller may send on a connection before the first of them has been answered. */
const maximumExchanges = 100;

interface Connection {
  /** Requests in order of arrival; more than one if the caller does not wait for responses. Only the first one is being served. */
  readonly exchanges: Exchange[];
  /** Bytes that had arrived when the connection last owed nothing; more have arrived since if a request is under way. */
  idleBytes: number;
  /** Whether a response has said that the connection ends after it. */
  isEnding: boolean;
}

/**
 * Serves the requests of a connection one after the other. A request behind a response that is cut would end with it, although it has been
 * passed on.
 */
export class CallerServer extends Server {
  readonly #serve: (exchange: Exchange) => void;
  readonly #connections = new Map<Socket, Connection>();
  /** `serving`; `leaving`: callers are told to go elsewhere; `closed`: the port is closed, and connections end once they owe nothing. */
  #stage: 'serving' | 'leaving' | 'closed' = 'serving';

  constructor(clock: Clock, maximumConnections: number, serve: (exchange: Exchange) => void) {
    super();
    this.#serve = serve;
    guardServer(this, maximumConnections);
    this.on('connection', (socket) => {
      this.#connections.set(socket, { exchanges: [], idleBytes: 0, isEnding: false });
      socket.on('close', () => this.#connections.delete(socket));
    });
    this.on('request', (request, response) => {
      this.#accept({ request, response, receivedAt: clock.monotonic() });
    });
  }

  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Whether the port is closed. Requests may still come on connections that are open. */
  get isPortClosed(): boolean {
    return this.#stage === 'closed';
  }

  get exchanges(): readonly Exchange[] {
    return [...this.#connections.values()].flatMap(({ exchanges }) => exchanges);
  }

  /** Number of exchanges by phase. */
  countExchanges(): Readonly<Record<ExchangePhase, number>> {
    const counts = { receiving: 0, answering: 0, sending: 0 };
    for (const exchange of this.exchanges) {
      counts[findPhase(exchange)] += 1;
    }
    return counts;
  }

  /** From now on each response is the last one of its connection. */
  leave(): void {
    this.#stage = 'leaving';
  }

  /** Stops listening. Connections end as soon as they owe nothing. */
  override close(callback?: (error?: Error) => void): this {
    this.#stage = 'closed';
    return super.close(callback);
  }

  /**
   * Closes the connections that owe nothing; `close` calls it. Node takes a response for sent once it is written, and would lose the rest
   * of it.
   */
  override closeIdleConnections(): void {
    for (const [socket, connection] of this.#connections) {
      if (connection.exchanges.length === 0 && socket.bytesRead === connection.idleBytes) {
        socket.destroySoon();
      }
    }
  }

  /** Resets the connections that owe a response, so that none looks complete that only the end of its connection delimits. */
  resetOwing(): void {
    for (const [socket, { exchanges }] of this.#connections) {
      if (exchanges.length > 0) {
        socket.resetAndDestroy();
        // By itself, the reset would wait until all bytes have been sent.
        socket.destroy();
      }
    }
  }

  /**
   * Whether the connection ends after this response, which then has to say so. Later requests on the connection are not served, as the
   * caller must not count on them.
   */
  endsConnection(response: ServerResponse): boolean {
    const connection = this.#find(response.req);
    if (this.#stage === 'serving' || connection?.exchanges.at(-1)?.response !== response) {
      return false;
    }
    connection.isEnding = true;
    return true;
  }

  /** A request that follows the last response of its connection is not served. */
  #accept(exchange: Exchange): void {
    const { request, response } = exchange;
    const connection = this.#find(request);
    if (connection === undefined || connection.isEnding) {
      request.resume();
      return;
    }
    if (connection.exchanges.length >= maximumExchanges) {
      // Node goes on reading requests as long as none is answered, and keeps them all.
      request.socket.destroy();
      return;
    }
    connection.exchanges.push(exchange);
    response.on('close', () => {
      this.#remove(connection, exchange);
    });
    if (connection.exchanges.length === 1) {
      this.#serve(exchange);
    }
  }

  #remove(connection: Connection, exchange: Exchange): void {
    const { exchanges } = connection;
    const { request } = exchange;
    exchanges.splice(exchanges.indexOf(exchange), 1);
    const [next] = exchanges;
    if (next !== undefined) {
      this.#serveNext(next);
      return;
    }
    if (request.complete) {
      this.#noteIdle(connection, request.socket);
      return;
    }
    // The response came before the end of the body.
    request.once('end', () => {
      this.#noteIdle(connection, request.socket);
    });
  }

  #serveNext(exchange: Exchange): void {
    if (!exchange.request.socket.destroyed) {
      this.#serve(exchange);
    }
  }

  #noteIdle(connection: Connection, socket: Socket): void {
    if (connection.exchanges.length > 0) {
      return;
    }
    connection.idleBytes = socket.bytesRead;
    if (this.#stage === 'closed') {
      // At once: a caller that sees the end with the response sends nothing more on this connection.
      socket.destroySoon();
    }
  }

  #find({ socket }: IncomingMessage): Connection | undefined {
    return this.#connections.get(socket);
  }
}

export function findPhase({ request, response }: Exchange): ExchangePhase {
  if (response.writableEnded) {
    return 'sending';
  }
  return request.complete ? 'answering' : 'receiving';
}
