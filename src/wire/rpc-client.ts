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

import { splitAddress, type Milliseconds } from '../common/index.js';
import { smallestCompressed } from './compression.js';

/** Connections to other processes of the system, one HTTP/2 session for each address. */

/** Pings on a connection with open streams find a peer that is gone; silence of a live peer is judged by the caller. */
const pingInterval: Milliseconds = 2000;
const pingTimeout: Milliseconds = 1500;
const idleTimeout: Milliseconds = 60_000;

interface Connection {
  readonly transport: ReturnType<typeof createConnectTransport>;
  /** The open sockets: one, and for a moment the next one. */
  readonly sockets: ReadonlySet<Socket>;
  /** Aborted once the connection is retired. */
  readonly retirement: AbortController;
}

/** Hands out clients and retires connections that went silent. */
export class RpcClientPool {
  readonly #connections = new Map<string, Connection>();

  /** A client of a service at an address; connects at the first call. */
  client<Service extends DescService>(service: Service, address: string): Client<Service> {
    return createClient(service, this.#connect(address).transport);
  }

  /**
   * Drops the connection to an address, so that the next call opens a new one.
   * Something between two hosts can lose track of an open connection: bytes then go nowhere, with no error,
   * while new connections work. Calls still open on the old one end with an error.
   *
   * The socket is destroyed rather than the session manager aborted: aborting takes the manager's listener away, and the error of a
   * session that a failed ping has just ended would then come to nobody and end the process.
   */
  retire(address: string): void {
    const connection = this.#connections.get(address);
    this.#connections.delete(address);
    for (const socket of connection?.sockets ?? []) {
      socket.destroy();
    }
    connection?.retirement.abort();
  }

  /** Drops all connections. */
  close(): void {
    for (const address of [...this.#connections.keys()]) {
      this.retire(address);
    }
  }

  #connect(address: string): Connection {
    const known = this.#connections.get(address);
    if (known !== undefined) {
      return known;
    }
    const baseUrl = `http://${address}`;
    const sockets = new Set<Socket>();
    const retirement = new AbortController();
    // Each call under way listens, so many listeners are no leak.
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
      compressMinBytes: smallestCompressed,
      interceptors: [failWhenRetired(retirement.signal)],
    });
    const connection = { transport, sockets, retirement };
    this.#connections.set(address, connection);
    return connection;
  }
}

function openSocket(address: string, sockets: Set<Socket>): Socket {
  const { host, port } = splitAddress(address);
  const socket = connect(port, host);
  sockets.add(socket);
  socket.once('close', () => sockets.delete(socket));
  return socket;
}

/**
 * Ends the wait of calls that have not begun when their connection is retired.
 * The session manager first pings a connection that was idle; when its socket is destroyed meanwhile, that ping is never
 * answered and never fails. One would notice a watch that never comes back and a process that does not end on SIGTERM.
 */
function failWhenRetired(retired: AbortSignal): Interceptor {
  return (next) => async (request) => {
    let stop: (() => void) | undefined;
    const isRetired = new Promise<never>((_, reject) => {
      stop = () => {
        reject(new ConnectError('the connection was retired', Code.Unavailable));
      };
      retired.addEventListener('abort', stop);
    });
    try {
      return await Promise.race([next(request), isRetired]);
    } finally {
      if (stop !== undefined) {
        retired.removeEventListener('abort', stop);
      }
    }
  };
}
