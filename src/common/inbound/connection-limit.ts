import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Limits the open connections of an HTTP server. Beyond the limit a new connection is closed unread, before it costs anything; its client can
 * safely try again. The connection that has waited for its client for longest makes room for the next one: it has sent no complete request,
 * or has got its response.
 */
export function limitConnections(server: Server, limit: number): void {
  const connections = new WaitingConnections();
  server.on('connection', (socket) => {
    connections.add(socket);
    socket.once('close', () => {
      connections.remove(socket);
    });
  });
  server.maxConnections = limit;
  server.on('drop', () => {
    // Connections are dropped for other reasons as well.
    if (connections.count >= limit) {
      connections.findLongestWaiting()?.destroy();
    }
  });
  server.prependListener('request', (request, response) => {
    connections.noteRequest(request, response);
  });
}

class WaitingConnections {
  readonly #open = new Map<Socket, IncomingMessage | undefined>();
  /** Candidates in the order in which they began to wait. */
  readonly #waiting = new Set<Socket>();

  get count(): number {
    return this.#open.size;
  }

  add(socket: Socket): void {
    this.#open.set(socket, undefined);
    this.#waiting.add(socket);
  }

  remove(socket: Socket): void {
    this.#open.delete(socket);
    this.#waiting.delete(socket);
  }

  noteRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    this.#open.set(socket, request);
    response.once('close', () => {
      if (this.#open.get(socket) === request) {
        this.#open.set(socket, undefined);
        this.#waiting.delete(socket);
        this.#waiting.add(socket);
      }
    });
  }

  /** A connection counts as being served from the moment at which its request is complete. */
  findLongestWaiting(): Socket | undefined {
    for (const socket of this.#waiting) {
      this.#waiting.delete(socket);
      if (this.#open.get(socket)?.complete !== true) {
        return socket;
      }
    }
    return undefined;
  }
}
