import type { Server, ServerResponse } from 'node:http';
import { Server as TcpServer, type Socket } from 'node:net';

import { pause } from './pause.js';
import type { Milliseconds } from './time.js';

/** Closes an HTTP server once it has answered the requests that it has read. */

/** Requests that cross the news of the closing arrive on kept connections within this time; they are answered as well. */
const lingerPeriod: Milliseconds = 300;
/** Time for the bytes of answers that were given at the end of the time limit. */
const flushPeriod: Milliseconds = 200;

/**
 * Counts what a server owes: requests whose header it has read and whose response has not been handed to the operating system.
 * The server's own count of idle connections includes those with a response that is written but not sent.
 */
export class ServerDrain {
  readonly #server: Server;
  readonly #connections = new Map<Socket, Set<ServerResponse>>();
  readonly #unanswered = new Set<() => void>();
  #isClosing = false;
  #isLingering = true;
  #isOverTime = false;

  constructor(server: Server) {
    this.#server = server;
    server.on('connection', (socket: Socket) => {
      this.#connections.set(socket, new Set());
      socket.on('close', () => this.#connections.delete(socket));
    });
    server.prependListener('request', ({ socket }, response) => {
      this.#addResponse(socket, response);
    });
  }

  /** Number of responses that have not been sent. */
  get owedCount(): number {
    return this.#listOwed().length;
  }

  /** Resolves with the work, or with the substitute if the server's time limit for closing ends first. */
  answerInTime<Value>(work: Promise<Value>, createSubstitute: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      const giveUp = (): void => {
        resolve(createSubstitute());
      };
      if (this.#isOverTime) {
        giveUp();
        return;
      }
      this.#unanswered.add(giveUp);
      void work.then(resolve, reject).finally(() => this.#unanswered.delete(giveUp));
    });
  }

  /**
   * Takes no more connections, answers what arrives on the open ones with `Connection: close`, and closes each once it owes nothing.
   * Resolves with the number of responses that were cut off at the end of the time limit.
   */
  async close(limit: Milliseconds): Promise<number> {
    this.#isClosing = true;
    this.#listOwed().forEach(announceClose);
    const ended = new AbortController();
    const closed = this.#stopListening().then(() => {
      ended.abort();
    });
    await pause(lingerPeriod, ended.signal);
    this.#isLingering = false;
    this.#closeIdleConnections();
    await pause(limit - lingerPeriod, ended.signal);
    this.#giveUp();
    await pause(flushPeriod, ended.signal);
    const cutCount = this.owedCount;
    this.#server.closeAllConnections();
    await closed;
    return cutCount;
  }

  #addResponse(socket: Socket, response: ServerResponse): void {
    const owed = this.#connections.get(socket);
    owed?.add(response);
    if (this.#isClosing) {
      announceClose(response);
    }
    response.on('close', () => {
      owed?.delete(response);
      if (!this.#isLingering && owed?.size === 0) {
        socket.destroySoon();
      }
    });
  }

  #listOwed(): readonly ServerResponse[] {
    return [...this.#connections.values()].flatMap((responses) => [...responses]);
  }

  #closeIdleConnections(): void {
    for (const [socket, owed] of this.#connections) {
      if (owed.size === 0) {
        socket.destroy();
      }
    }
  }

  #giveUp(): void {
    this.#isOverTime = true;
    for (const giveUp of this.#unanswered) {
      giveUp();
    }
  }

  /** Resolves once every connection has ended. The HTTP server's own `close` would end connections whose request is under way to it. */
  #stopListening(): Promise<void> {
    return new Promise((resolve) => {
      TcpServer.prototype.close.call(this.#server, () => {
        resolve();
      });
    });
  }
}

/** Ends the connection after the response; the caller sends nothing more on it. */
function announceClose(response: ServerResponse): void {
  if (!response.headersSent) {
    response.shouldKeepAlive = false;
  }
}
