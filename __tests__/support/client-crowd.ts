/** Many connections of clients that nobody controls: they send what they like, and read whatever comes back. */
import { connect, type Socket } from 'node:net';

import { Flood } from './flood.js';

/** Bytes that one client sends. */
export interface ClientBytes {
  /** Sent once. */
  readonly beginning: string;
  /** Sent after that: so many times, or without end. */
  readonly repeated?: { readonly text: string; readonly count: number };
  /** Whether the client takes nothing of what it is sent. */
  readonly isDeaf?: boolean;
}

export class ClientCrowd {
  readonly #sockets: readonly Socket[];
  #connected = 0;
  #closed = 0;

  constructor(address: string, size: number, bytes: ClientBytes) {
    const [host = '', port] = address.split(':');
    this.#sockets = Array.from({ length: size }, () => {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      socket.on('connect', () => {
        this.#connected += 1;
      });
      socket.on('close', () => {
        this.#closed += 1;
      });
      if (bytes.isDeaf !== true) {
        socket.resume();
      }
      send(socket, bytes);
      return socket;
    });
  }

  get connectedCount(): number {
    return this.#connected;
  }

  /** Connections that the other side has closed or refused. */
  get closedCount(): number {
    return this.#closed;
  }

  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }
}

function send(socket: Socket, { beginning, repeated }: ClientBytes): void {
  if (repeated === undefined) {
    socket.write(beginning);
  } else {
    new Flood(socket, beginning, repeated.text, repeated.count);
  }
}
