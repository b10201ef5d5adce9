import { Socket } from 'node:net';

import { errors, type buildConnector } from 'undici';

import type { Milliseconds } from '../common/index.js';

/** TCP connections to upstreams for undici, on which a reset is never taken for the end of a response. */

/** The upstream reset the connection. undici sends requests that still wait for the connection on another one after a `SocketError`. */
class ConnectionResetError extends errors.SocketError {
  constructor(cause?: Error) {
    super('the upstream reset the connection');
    this.cause = cause;
  }
}

/**
 * A socket that reports a reset by the other side as a `ConnectionResetError`, in both forms in which Node reports it.
 * - An error with the code `ECONNRESET`: if the headers of a response do not delimit its body, undici takes it for the end of the body.
 * - The end of the stream, if the last bytes and the reset are read in one turn of the event loop.
 *
 * The end of the stream is reported only to a reader that asks for more bytes. undici asks for none while a response is paused, and fails
 * an assertion that nothing catches if the stream ends meanwhile.
 */
export class UpstreamSocket extends Socket {
  #end: 'closed' | 'reset' | undefined;

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(isReset(error) ? new ConnectionResetError(error) : error, callback);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null) {
      return super.push(chunk, encoding);
    }
    this.#end = this.#hasPeer() ? 'closed' : 'reset';
    if (this.#end === 'closed') {
      return super.push(null);
    }
    this.emit('readable');
    return false;
  }

  /** A reset that ends the stream is reported after the bytes before it, since they may complete a response that has a length. */
  override read(size?: number): unknown {
    const isReader = size !== 0;
    if (this.#end !== undefined && !isReader) {
      // Node itself reads no bytes in order to end the stream.
      return null;
    }
    const chunk: unknown = super.read(size);
    if (this.#end === 'reset' && chunk === null && this.readableLength === 0) {
      this.destroy(new ConnectionResetError());
    }
    return chunk;
  }

  /**
   * Whether the connection still exists: after an orderly close by the other side it does, until this side closes it too. Node keeps the
   * address once it has been read, so it must not be read before the end of the stream.
   */
  #hasPeer(): boolean {
    return this.remoteAddress !== undefined;
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
