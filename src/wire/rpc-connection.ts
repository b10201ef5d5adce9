import { setMaxListeners } from 'node:events';
import { connect, type Socket } from 'node:net';

import {
  Code,
  ConnectError,
  type Interceptor,
  type StreamResponse,
  type Transport,
  type UnaryResponse,
} from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import { parseAddressOrThrow, type Milliseconds } from '../common/index.js';
import { compressionThreshold } from './compression.js';

/** The connection to one other process, usually one HTTP/2 session. */

const idleTimeout: Milliseconds = 60_000;

/** How long a connection may go unanswered. */
export interface RpcConnectionTimeouts {
  /** Longest time to open a connection. The kernel would repeat a lost first packet with growing pauses, for minutes. */
  readonly connect: Milliseconds;
  /** Time without a byte, while a call is open, after which a ping is sent. */
  readonly pingInterval: Milliseconds;
  /** Longest time to the answer of a ping. */
  readonly pingAnswer: Milliseconds;
}

/** Options of a connection. */
export interface RpcConnectionOptions {
  /** `ip:port`. */
  readonly address: string;
  readonly timeouts: RpcConnectionTimeouts;
  /** Called when a call timed out and nothing at all arrived in the meantime. */
  readonly onSilent: () => void;
  readonly onRetired: () => void;
}

type Response = UnaryResponse | StreamResponse;

export class RpcConnection {
  readonly transport: Transport;
  readonly #options: RpcConnectionOptions;
  /** The open sockets: usually one, two for a moment while one replaces another. */
  readonly #sockets = new Set<Socket>();
  readonly #retirement = new AbortController();
  #openCalls = 0;
  #isReplaced = false;

  constructor(options: RpcConnectionOptions) {
    this.#options = options;
    // Every pending call adds a listener, so a large number is not a leak.
    setMaxListeners(0, this.#retirement.signal);
    const baseUrl = `http://${options.address}`;
    const { pingInterval, pingAnswer } = options.timeouts;
    this.transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: new Http2SessionManager(
        baseUrl,
        {
          pingIntervalMs: pingInterval,
          pingTimeoutMs: pingAnswer,
          idleConnectionTimeoutMs: idleTimeout,
        },
        { createConnection: () => this.#openSocket() },
      ),
      compressMinBytes: compressionThreshold,
      interceptors: [this.#countCalls, this.#reportSilence, this.#failWhenRetired],
    });
  }

  /**
   * Ends the connection and its open calls.
   * Destroys the socket instead of aborting the session manager. Aborting removes the manager's error listener; the error of a
   * session that a failed ping has just ended would then be unhandled and end the process.
   */
  retire(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#retirement.abort();
    this.#options.onRetired();
  }

  /** Ends the connection once no call is open on it, because another connection takes the new ones. */
  retireWhenUnused(): void {
    this.#isReplaced = true;
    this.#retireIfUnused();
  }

  #retireIfUnused(): void {
    if (this.#isReplaced && this.#openCalls === 0) {
      this.retire();
    }
  }

  #openSocket(): Socket {
    const { address, timeouts } = this.#options;
    const { host, port } = parseAddressOrThrow(address);
    const socket = connect(port, host);
    const timer = setTimeout(() => {
      const reason = `${address} did not accept a connection in ${timeouts.connect} ms`;
      socket.destroy(new ConnectError(reason, Code.Unavailable));
    }, timeouts.connect);
    socket.once('connect', () => {
      clearTimeout(timer);
    });
    socket.once('close', () => {
      clearTimeout(timer);
      this.#sockets.delete(socket);
    });
    this.#sockets.add(socket);
    return socket;
  }

  #countReadBytes(): number {
    return [...this.#sockets].reduce((bytes, socket) => bytes + socket.bytesRead, 0);
  }

  #endCall(): void {
    this.#openCalls -= 1;
    this.#retireIfUnused();
  }

  readonly #countCalls: Interceptor = (next) => async (request) => {
    this.#openCalls += 1;
    let response: Response;
    try {
      response = await next(request);
    } catch (error) {
      this.#endCall();
      throw error;
    }
    if (!response.stream) {
      this.#endCall();
      return response;
    }
    const message = callAtEnd(response.message, () => {
      this.#endCall();
    });
    return { ...response, message };
  };

  /**
   * Reports a connection on which a call has timed out and nothing has arrived meanwhile.
   * The session manager does not notice it if no call stays open until a ping has timed out: it forgets the pending timeout when
   * the last open call ends, and calls that wait for that ping then wait until their own timeout, one after the other, for good.
   */
  readonly #reportSilence: Interceptor = (next) => async (request) => {
    const bytesBefore = this.#countReadBytes();
    try {
      return await next(request);
    } catch (error) {
      if (hasTimedOut(request.signal) && this.#countReadBytes() === bytesBefore) {
        this.#options.onSilent();
      }
      throw error;
    }
  };

  /**
   * Rejects calls that have not started when the connection is retired.
   * The session manager pings a connection that was idle before it uses it again. If the socket is destroyed meanwhile, that ping
   * neither succeeds nor fails: a watch would never return, and the process would not exit on SIGTERM.
   */
  readonly #failWhenRetired: Interceptor = (next) => async (request) => {
    const { signal } = this.#retirement;
    let rejectCall: (() => void) | undefined;
    const retirement = new Promise<never>((_, reject) => {
      rejectCall = () => {
        reject(new ConnectError('the connection was retired', Code.Unavailable));
      };
      signal.addEventListener('abort', rejectCall);
    });
    try {
      return await Promise.race([next(request), retirement]);
    } finally {
      if (rejectCall !== undefined) {
        signal.removeEventListener('abort', rejectCall);
      }
    }
  };
}

function hasTimedOut({ aborted, reason }: AbortSignal): boolean {
  return aborted && reason instanceof ConnectError && reason.code === Code.DeadlineExceeded;
}

/** Passes messages on; calls `onEnd` after the last one, an error, or when the reader stops. */
async function* callAtEnd<Message>(
  messages: AsyncIterable<Message>,
  onEnd: () => void,
): AsyncGenerator<Message> {
  try {
    yield* messages;
  } finally {
    onEnd();
  }
}
