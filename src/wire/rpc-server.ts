import { constants, createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { Socket } from 'node:net';

import type { DescMessage } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import {
  InboundMemory,
  openServer,
  pause,
  systemClock,
  type ManagedPart,
  type Milliseconds,
} from '../common/index.js';
import { compressionThreshold } from './compression.js';
import { createRpcRequestClass } from './rpc-request.js';
import { RunningCalls } from './running-calls.js';
import { OpenSessions } from './open-sessions.js';

/** RPC server for calls between processes of the system: Connect over HTTP/2 without TLS. */

/** Time that open streams get to end by themselves when the server closes. */
const closeGracePeriod: Milliseconds = 500;
/** Time that unary calls get before that. A call that its process forwards is answered within it unless the other process is silent. */
const callGracePeriod: Milliseconds = 1500;

/** A change with the largest document that operators may send, and its source. */
const defaultMaximumMessageBytes = 40 * 1024 * 1024;

const defaultMemoryBytes = 32 * 1024 * 1024;
const defaultMaximumConnections = 1024;
const defaultMaximumCalls = 1024;

/** Options of an RPC server. */
export interface RpcServerOptions {
  readonly address: string;
  /** Shared by all ports of the process; by default the port has memory of its own. */
  readonly inbound?: InboundMemory;
  readonly maximumConnections?: number;
  /** Calls that are open at a time, over all connections. */
  readonly maximumCalls?: number;
  /** Longest message, in bytes. */
  readonly maximumMessageBytes?: number;
  readonly routes: (router: ConnectRouter) => void;
}

/** A server as a managed part. */
export interface RpcServer extends ManagedPart {
  /** Waits, for a bounded time, until the unary calls under way are answered; what they need is closed after that. */
  readonly finishCalls: () => Promise<void>;
}

/** Creates a server. Closing it answers the unary calls under way and then ends every session, so that no peer can delay the shutdown. */
export function createRpcServer(options: RpcServerOptions): RpcServer {
  const { inbound = new InboundMemory(defaultMemoryBytes, systemClock) } = options;
  const sessions = new Set<ServerHttp2Session>();
  const calls = new RunningCalls();
  const messages = new Map<string, DescMessage>();
  const answer = connectNodeAdapter({
    routes: (router) => {
      options.routes(router);
      for (const { requestPath, method } of router.handlers) {
        messages.set(requestPath, method.input);
      }
    },
    // What nobody reads would take far more memory than it has bytes.
    binaryOptions: { readUnknownFields: false },
    compressMinBytes: compressionThreshold,
    readMaxBytes: options.maximumMessageBytes ?? defaultMaximumMessageBytes,
    interceptors: [calls.interceptor],
  });
  const openSessions = new OpenSessions({
    connections: options.maximumConnections ?? defaultMaximumConnections,
    calls: options.maximumCalls ?? defaultMaximumCalls,
  });
  const server = createServer(
    {
      Http2ServerRequest: createRpcRequestClass(inbound, (path) => messages.get(path)),
      settings: { maxConcurrentStreams: openSessions.callsOfSession },
    },
    (request, response) => {
      if (openSessions.admit(request.stream)) {
        answer(request, response);
      } else {
        // The client may try again, as nothing has been done.
        request.stream.close(constants.NGHTTP2_REFUSED_STREAM);
      }
    },
  );
  openSessions.guard(server);
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => {
      session.destroy();
    });
  });
  return {
    name: `rpc server ${options.address}`,
    open: () => openServer(server, options.address),
    close: () => closeServer(server, calls, sessions, sockets),
    finishCalls: () => calls.finish(callGracePeriod),
  };
}

async function closeServer(
  server: Http2Server,
  calls: RunningCalls,
  sessions: ReadonlySet<ServerHttp2Session>,
  sockets: ReadonlySet<Socket>,
): Promise<void> {
  const ended = new AbortController();
  const closed = new Promise<void>((resolve) => {
    server.close(() => {
      ended.abort();
      resolve();
    });
  });
  for (const session of sessions) {
    session.close();
  }
  await calls.finish(callGracePeriod);
  await pause(closeGracePeriod, ended.signal);
  for (const session of sessions) {
    session.destroy();
  }
  // Destroying a session that was closed before only half-closes its socket. The peer of a silent connection never
  // completes that, and the process would not exit on SIGTERM.
  for (const socket of sockets) {
    socket.destroy();
  }
  await closed;
}
