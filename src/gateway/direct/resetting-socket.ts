import { Socket } from 'node:net';

import type { buildConnector } from 'undici';

import type { Milliseconds } from '../../common/index.js';

/** Connections to upstreams that are given up by a reset. */

/**
 * A connection that is reset when it is destroyed.
 * An orderly close comes behind the bytes that were sent before it. An upstream whose host stands still would read the whole request when it
 * goes on, and run it for a caller that has left; a reset takes back what has not arrived.
 */
class ResettingSocket extends Socket {
  #isResetting = false;
  #cause: Error | undefined;

  override destroy(error?: Error): this {
    if (this.destroyed || this.connecting || this.#isResetting) {
      return super.destroy(error ?? this.#cause);
    }
    this.#isResetting = true;
    this.#cause = error;
    // Comes back here to destroy it, without the error.
    return this.resetAndDestroy();
  }
}

/** Opens such connections for undici; one that is not open after `timeout` is given up. */
export function createResettingConnector(timeout: Milliseconds): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = new ResettingSocket();
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection to ${hostname}:${port} within ${timeout} ms`));
    }, timeout);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      callback(null, socket);
    });
    socket.connect({ host: hostname, port: Number(port), noDelay: true });
  };
}
