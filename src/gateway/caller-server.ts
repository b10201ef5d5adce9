import { Server, type IncomingMessage, type RequestListener, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock, Milliseconds } from '../common/index.js';

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

export class CallerServer extends Server {
  readonly #exchanges = new Set<Exchange>();
  readonly #sockets = new Set<Socket>();

  constructor(clock: Clock, serve: RequestListener) {
    super();
    this.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.on('request', (request, response) => {
      this.#add({ request, response, receivedAt: clock.monotonic() });
      serve(request, response);
    });
  }

  get connectionCount(): number {
    return this.#sockets.size;
  }

  get exchanges(): ReadonlySet<Exchange> {
    return this.#exchanges;
  }

  /** Number of exchanges by phase. */
  countExchanges(): Readonly<Record<ExchangePhase, number>> {
    const counts = { receiving: 0, answering: 0, sending: 0 };
    for (const exchange of this.#exchanges) {
      counts[findPhase(exchange)] += 1;
    }
    return counts;
  }

  #add(exchange: Exchange): void {
    this.#exchanges.add(exchange);
    exchange.response.on('close', () => {
      this.#exchanges.delete(exchange);
    });
  }
}

export function findPhase({ request, response }: Exchange): ExchangePhase {
  if (response.writableEnded) {
    return 'sending';
  }
  return request.complete ? 'answering' : 'receiving';
}
