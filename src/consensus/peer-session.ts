import { once } from 'node:events';
import {
  connect as connectSession,
  constants,
  type ClientHttp2Session,
  type ClientHttp2Stream,
  type ClientSessionRequestOptions,
  type OutgoingHttpHeaders,
} from 'node:http2';
import { connect as connectSocket, type Socket } from 'node:net';

import { parseAddressOrThrow, type Milliseconds } from '../common/index.js';

/** Options of a session. */
export interface PeerSessionOptions {
  /** `ip:port`. */
  readonly address: string;
  /**
   * Timeout for connecting and for the answer to a ping, and the time from an answer to the next ping. Without it, an attempt to
   * reach a partitioned host would last for minutes, even past the partition's end.
   */
  readonly timeout: Milliseconds;
}

/**
 * The HTTP/2 session of the stream to one peer, which takes the place of the session manager of the RPC library.
 * It ends when the peer announces that it stops (GOAWAY) and when a ping fails or is not answered in time. The session manager keeps
 * a session open after a GOAWAY until its streams end, and HTTP/2 sessions of Node.js send no pings after one. If the connection went
 * silent before the peer closed it, the stream would stay open for ever.
 */
export class PeerSession {
  /** The origin that the RPC library compares with that of its requests. */
  readonly authority: string;
  readonly #timeout: Milliseconds;
  readonly #socket: Socket;
  readonly #session: ClientHttp2Session;
  readonly #ending = new AbortController();
  #timer: NodeJS.Timeout | undefined;

  constructor({ address, timeout }: PeerSessionOptions) {
    const { host, port } = parseAddressOrThrow(address);
    const socket = connectSocket(port, host);
    this.authority = new URL(`http://${address}`).origin;
    this.#timeout = timeout;
    this.#socket = socket;
    this.#session = connectSession(this.authority, { createConnection: () => socket });
    this.#session.once('connect', () => {
      this.#startTimer(this.#ping);
    });
    this.#session.on('goaway', this.end);
    this.#session.on('error', this.end);
    this.#session.on('close', this.end);
    this.#startTimer(this.end);
  }

  /** Aborted once the session has ended. */
  get ended(): AbortSignal {
    return this.#ending.signal;
  }

  /** Resolves once the connection is open; rejects if the session ends before. To be called right after construction. */
  async connect(): Promise<void> {
    await once(this.#session, 'connect', { signal: this.ended });
  }

  /** Sends a request; part of the interface of a session manager. */
  readonly request = (
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> => {
    const pseudoHeaders = { ':method': method, ':path': path };
    return Promise.resolve(this.#session.request({ ...headers, ...pseudoHeaders }, options));
  };

  /** Does nothing, because pings are sent at fixed intervals; part of the interface of a session manager. */
  readonly notifyResponseByteRead = (): void => undefined;

  /** Ends the connection and its stream. */
  readonly end = (): void => {
    clearTimeout(this.#timer);
    this.#ending.abort();
    this.#session.destroy(undefined, constants.NGHTTP2_CANCEL);
    // After a GOAWAY, destroying the session only half-closes the socket, and the peer of a silent connection never completes that.
    this.#socket.destroy();
  };

  readonly #ping = (): void => {
    if (this.#session.destroyed) {
      this.end();
      return;
    }
    this.#startTimer(this.end);
    this.#session.ping((error) => {
      if (error === null) {
        this.#startTimer(this.#ping);
      } else {
        this.end();
      }
    });
  };

  #startTimer(action: () => void): void {
    clearTimeout(this.#timer);
    if (!this.ended.aborted) {
      this.#timer = setTimeout(action, this.#timeout);
    }
  }
}
