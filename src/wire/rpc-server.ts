import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { Socket } from 'node:net';

import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import { openServer, type ManagedPart } from '../common/index.js';
import { compressionThreshold } from './compression.js';

/** RPC server for calls between processes of the system: Connect over HTTP/2 without TLS. */

/** Milliseconds that open streams get to end by themselves when the server closes. */
const closeGracePeriod = 500;

/** Options of an RPC server. */
export interface RpcServerOptions {
  readonly address: string;
  readonly routes: (router: ConnectRouter) => void;
}

/** Creates a server as a managed part. Closing it ends every session, so that no peer can delay the shutdown. */
export function createRpcServer(options: RpcServerOptions): ManagedPart {
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(
    connectNodeAdapter({ routes: options.routes, compressMinBytes: compressionThreshold }),
  );
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
    close: () => closeServer(server, sessions, sockets),
  };
}

async function closeServer(
  server: Http2Server,
  sessions: ReadonlySet<ServerHttp2Session>,
  sockets: ReadonlySet<Socket>,
): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
  for (const session of sessions) {
    session.close();
  }
  const timer = setTimeout(() => {
    for (const session of sessions) {
      session.destroy();
    }
    // Destroying a session that was closed before only half-closes its socket. The peer of a silent connection never
    // completes that, and the process would not exit on SIGTERM.
    for (const socket of sockets) {
      socket.destroy();
    }
  }, closeGracePeriod);
  await closed;
  clearTimeout(timer);
}
