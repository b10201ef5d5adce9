import { setMaxListeners } from 'node:events';
import { connect, type Socket } from 'node:net';

import type { DescService } from '@bufbuild/protobuf';
import {
  Code,
  ConnectError,
  createClient,
  type Client,
  type Interceptor,
} from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import { parseAddressOrThrow, type Milliseconds } from '../common/index.js';
import { compressionThreshold } from './compression.js';

/** Connections to other processes of the system: one HTTP/2 session per address. */

/** Pings on a connection with open streams detect a dead peer; callers handle a live peer that sends nothing on a stream. */
const pingInterval: Milliseconds = 2000;
const pingTimeout: Milliseconds = 1500;
const idleTimeout: Milliseconds = 60_000;

interface Connection {
  readonly transport: ReturnType<typeof createConnectTransport>;
  /** The open sockets: usually one, two for a moment while one replaces another. */
  readonly sockets: ReadonlySet<Socket>;
  /** Aborted once the connection is retired. */
  readonly retirement: AbortController;
}

/** Provides clients and retires connections that went silent. */
export class RpcClientPool {
  readonly #connections = new Map<string, Connection>();

  /** Returns a client of a service at an address; it connects on the first call. */
  client<Service extends DescService>(service: Service, address: string): Client<Service> {
    return createClient(service, this.#connect(address).transport);
  }

  /**
   * Drops the connection to an address, so that the next call opens a new one.
   * A middlebox between two hosts can lose track of an open connection: its bytes are then dropped without an error,
   * while new connections work. Calls still open on the old connection fail.
   *
   * Destroys the socket instead of aborting the session manager. Aborting removes the manager's error listener; the error of a
   * session that a failed ping has just ended would then be unhandled and end the process.
   */
  retire(address: string): void {
    const connection = this.#connections.get(address);
    this.#connections.delete(address);
    for (const socket of connection?.sockets ?? []) {
      socket.destroy();
    }
    connection?.retirement.abort();
  }

  /** Retires all connections. */
  close(): void {
    for (const address of [...this.#connections.keys()]) {
      this.retire(address);
    }
  }

  #connect(address: string): Connection {
    const existing = this.#connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const baseUrl = `http://${address}`;
    const sockets = new Set<Socket>();
    const retirement = new AbortController();
    // Every pending call adds a listener, so a large number is not a leak.
    setMaxListeners(0, retirement.signal);
    const sessionManager = new Http2SessionManager(
      baseUrl,
      {
        pingIntervalMs: pingInterval,
        pingTimeoutMs: pingTimeout,
        idleConnectionTimeoutMs: idleTimeout,
      },
      { createConnection: () => openSocket(address, sockets) },
    );
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager,
      compressMinBytes: compressionThreshold,
      interceptors: [failWhenRetired(retirement.signal)],
    });
    const connection = { transport, sockets, retirement };
    this.#connections.set(address, connection);
    return connection;
  }
}

function openSocket(address: string, sockets: Set<Socket>): Socket {
  const { host, port } = parseAddressOrThrow(address);
  const socket = connect(port, host);
  sockets.add(socket);
  socket.once('close', () => sockets.delete(socket));
  return socket;
}

/**
 * Rejects calls that have not started when their connection is retired.
 * The session manager pings a connection that was idle before it uses it again. If the socket is destroyed meanwhile, that ping
 * neither succeeds nor fails: a watch would never return, and the process would not exit on SIGTERM.
 */
function failWhenRetired(retired: AbortSignal): Interceptor {
  return (next) => async (request) => {
    let rejectCall: (() => void) | undefined;
    const retirement = new Promise<never>((_, reject) => {
      rejectCall = () => {
        reject(new ConnectError('the connection was retired', Code.Unavailable));
      };
      retired.addEventListener('abort', rejectCall);
    });
    try {
      return await Promise.race([next(request), retirement]);
    } finally {
      if (rejectCall !== undefined) {
        retired.removeEventListener('abort', rejectCall);
      }
    }
  };
}
