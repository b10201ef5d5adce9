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

/** The upstream keeps sending interim responses, blank lines or other bytes in place of the head of its response. */
export class EndlessHeadError extends errors.SocketError {
  constructor() {
    super('the head of the response does not end');
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
  /** How the other side has ended the stream; undefined while it has not. */
  #end: 'closed' | 'reset' | 'reported' | undefined;
  #isOfferingEnd = false;
  /** Called with the size of each read; returns whether the head of the response counts as endless. */
  onRead: (bytes: number) => boolean = () => false;

  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(isReset(error) ? new ConnectionResetError(error) : error, callback);
  }

  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    if (chunk !== null) {
      if (this.onRead(chunk.length)) {
        this.destroy(new EndlessHeadError());
        return false;
      }
      return super.push(chunk, encoding);
    }
    if (this.#end === undefined) {
      this.#end = this.#hasPeer() ? 'closed' : 'reset';
      this.#offerEnd();
    }
    return false;
  }

  override _read(size: number): void {
    if (this.#end === undefined) {
      super._read(size);
    }
  }

  /** The end is reported after the bytes before it, since they may complete a response that has a length. */
  override read(size?: number): unknown {
    const chunk: unknown = super.read(size);
    // Node itself reads no bytes (0) after the end of the stream.
    if (chunk === null && size !== 0 && this.#end !== undefined && this.readableLength === 0) {
      this.#handleRequestForMore(this.#end);
    }
    return chunk;
  }

  /** Lets a reader that is not paused ask for more bytes. */
  #offerEnd(): void {
    this.#isOfferingEnd = true;
    this.emit('readable');
    this.#isOfferingEnd = false;
  }

  #handleRequestForMore(end: 'closed' | 'reset' | 'reported'): void {
    if (end === 'reported') {
      return;
    }
    if (!this.#isOfferingEnd) {
      // A reader that is being resumed may pause again in this turn.
      process.nextTick(() => {
        this.#offerEnd();
      });
      return;
    }
    this.#end = 'reported';
    if (end === 'closed') {
      super.push(null);
    } else {
      this.destroy(new ConnectionResetError());
    }
  }

  /**
   * Whether the connection still exists: after an orderly close by the other side it does, until this side closes it too. Node keeps the
   * address once it has been read, so it must not be read before the end of the stream.
   */
  #hasPeer(): boolean {
    return this.remoteAddress !== undefined;
  }
}

/** A connector for undici, which passes on the sockets that it creates. */
export type UpstreamConnector = (
  target: buildConnector.Options,
  callback: (...result: [null, UpstreamSocket] | [Error, null]) => void,
) => void;

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
}: UpstreamConnectorOptions): UpstreamConnector {
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
