import { Socket } from 'node:net';

import type { buildConnector } from 'undici';

import type { Milliseconds } from '../../common/index.js';

/** Connections to upstreams that are closed with a TCP reset. */

/**
 * A socket that sends a TCP reset when it is destroyed.
 * An orderly close is delivered after the bytes that were sent before it. An upstream whose host is frozen would read the complete request
 * when it resumes, and run it for a caller that has left. A reset discards the data that has not been delivered.
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
    // Calls `destroy` again, without the error.
    return this.resetAndDestroy();
  }
}

/**
 * Creates a connector for undici that opens such sockets and fails if a connection is not open within `timeout`. `onReset` is called with
 * the `ip:port` of an upstream that has reset an open connection.
 */
export function createResettingConnector(
  timeout: Milliseconds,
  onReset: (address: string) => void,
): buildConnector.connector {
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
      socket.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') {
          onReset(`${hostname}:${port}`);
        }
      });
      callback(null, socket);
    });
    socket.connect({ host: hostname, port: Number(port), noDelay: true });
  };
}
