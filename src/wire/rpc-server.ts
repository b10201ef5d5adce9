import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { Socket } from 'node:net';

import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import { openServer, type ManagedPart } from '../common/index.js';
import { smallestCompressed } from './compression.js';

/** The server of the protocols between the system's own processes: Connect over HTTP/2 without TLS. */

/** How long open streams get to end by themselves when the server closes, in milliseconds. */
const closeGrace = 500;

/** Options of a server. */
export interface RpcServerOptions {
  readonly address: string;
  readonly routes: (router: ConnectRouter) => void;
}

/** A server as a managed part; closing it ends every session, so that no peer waits for it. */
export function createRpcServer(options: RpcServerOptions): ManagedPart {
  const sessions = new Set<ServerHttp2Session>();
  const server = createServer(
    connectNodeAdapter({ routes: options.routes, compressMinBytes: smallestCompressed }),
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
    // A session that was closed and is then destroyed only half-closes its socket. The other end of a connection that
    // went silent never answers that; one would notice a process that does not end on SIGTERM.
    for (const socket of sockets) {
      socket.destroy();
    }
  }, closeGrace);
  await closed;
  clearTimeout(timer);
}
