import { Socket } from 'node:net';

import { errors, type buildConnector } from 'undici';

import type { Milliseconds } from '../common/index.js';

/** TCP connections to upstreams for undici, on which a reset is never taken for the end of a response. */

/** Bytes of a response that wait to be read. They may come one by one, and an object for each of them needs a hundred times its memory. */
export const maximumUnreadBytes = 16 * 1024;
/** Bytes that a reader gets at once, so that even the costliest to parse take little time. */
const maximumReadBytes = 4 * 1024;
/** A connection gives way to the others after so many bytes. */
const maximumBytesInTurn = 64 * 1024;
/** A connection also gives way if its reader has worked for so long on the last bytes. */
const maximumReadTime: Milliseconds = 1;

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
 *
 * In one turn of the event loop a reader gets a limited part of the bytes. Node reads up to 2 MB in a row from a connection that has them;
 * an upstream that sends without end would keep the process from its other connections for a second.
 */
export class UpstreamSocket extends Socket {
  /** How the other side has ended the stream; undefined while it has not. */
  #end: 'closed' | 'reset' | 'reported' | undefined;
  #isOfferingEnd = false;
  #isGivingWay = false;
  /** Whether reading goes on once the reader has all bytes that were read. */
  #isReadOwed = false;
  /** Bytes that the reader got since the connection last gave way. */
  #bytesInTurn = 0;
  /** Undefined if the reader got no bytes the last time. */
  #lastReadAt: Milliseconds | undefined;
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
      // Node stops reading then; a reset that it read would discard the bytes that wait for their turn.
      return super.push(chunk, encoding) && this.readableLength <= maximumReadBytes;
    }
    if (this.#end === undefined) {
      this.#end = this.#hasPeer() ? 'closed' : 'reset';
      this.#offerEnd();
    }
    return false;
  }

  override _read(size: number): void {
    if (this.readableLength > maximumReadBytes) {
      this.#isReadOwed = true;
    } else if (this.#end === undefined) {
      super._read(size);
    }
  }

  /** The end is reported after the bytes before it, since they may complete a response that has a length. */
  override read(size?: number): unknown {
    // Node itself reads no bytes, also after the end of the stream.
    if (size === 0) {
      return super.read(size);
    }
    const chunk = this.#mustGiveWay() ? null : this.#readPart(size);
    if (chunk === null && this.#end !== undefined && this.readableLength === 0) {
      this.#handleRequestForMore(this.#end);
    }
    return chunk;
  }

  #readPart(size?: number): unknown {
    const part = this.readableLength > maximumReadBytes ? maximumReadBytes : undefined;
    const chunk: unknown = super.read(size ?? part);
    this.#bytesInTurn += Buffer.isBuffer(chunk) ? chunk.length : 0;
    this.#lastReadAt = chunk === null ? undefined : performance.now();
    if (chunk === null && this.#isReadOwed) {
      this.#isReadOwed = false;
      this._read(this.readableHighWaterMark);
    }
    return chunk;
  }

  /** Whether the bytes that are left have to wait for the next turn of the event loop. */
  #mustGiveWay(): boolean {
    if (this.#isGivingWay || this.readableLength === 0) {
      return this.#isGivingWay;
    }
    const readTime = this.#lastReadAt === undefined ? 0 : performance.now() - this.#lastReadAt;
    if (this.#bytesInTurn < maximumBytesInTurn && readTime < maximumReadTime) {
      return false;
    }
    this.#isGivingWay = true;
    setImmediate(() => {
      this.#isGivingWay = false;
      this.#bytesInTurn = 0;
      this.#lastReadAt = undefined;
      if (!this.destroyed) {
        this.emit('readable');
      }
    });
    return true;
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
