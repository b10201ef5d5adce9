import { Socket } from 'node:net';

import { errors, type buildConnector } from 'undici';

import type { Milliseconds } from '../common/index.js';

/** TCP connections to upstreams for undici, on which a reset is never taken for the end of a response. */

/** The upstream reset the connection. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError';
  readonly code = 'UPSTREAM_CONNECTION_RESET';

  constructor(cause: Error) {
    super('the upstream reset the connection', { cause });
  }
}

/**
 * A socket that reports a reset by the other side as a `ConnectionResetError`.
 * If the headers of a response do not delimit its body, undici takes an error with the code `ECONNRESET` for the end of the body, and a
 * truncated response for a complete one.
 */
export class UpstreamSocket extends Socket {
  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(isReset(error) ? new ConnectionResetError(error) : error, callback);
  }
}

export interface UpstreamConnectorOptions {
  /** A connection that is not open within this time fails. */
  readonly timeout: Milliseconds;
  readonly createSocket?: () => UpstreamSocket;
  /** Called with the `ip:port` of an upstream that has reset an open connection. */
  readonly onReset?: (address: string) => void;
}

/** Creates a connector for undici; it connects without TLS. */
export function createUpstreamConnector({
  timeout,
  createSocket = () => new UpstreamSocket(),
  onReset = () => undefined,
}: UpstreamConnectorOptions): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const address = `${hostname}:${port}`;
    const socket = createSocket();
    const timer = setTimeout(() => {
      const reason = `no connection to ${address} within ${timeout} ms`;
      socket.destroy(new errors.ConnectTimeoutError(reason));
    }, timeout);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      socket.on('error', (error) => {
        if (error instanceof ConnectionResetError) {
          onReset(address);
        }
      });
      callback(null, socket);
    });
    socket.connect({ host: hostname, port: Number(port), noDelay: true });
  };
}

function isReset(error: NodeJS.ErrnoException | null): error is NodeJS.ErrnoException {
  return error?.code === 'ECONNRESET';
}
