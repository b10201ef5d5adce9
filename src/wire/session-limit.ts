import type { Http2Server, Http2Session } from 'node:http2';

/**
 * Limits the open connections of an RPC server. Beyond the limit a new connection is closed unread. The session that has been without a call
 * for longest makes room for the next one.
 */
export function limitSessions(server: Http2Server, limit: number): void {
  /** Calls under way by session; sessions without any are in the order in which they became idle. */
  const calls = new Map<Http2Session, number>();
  server.on('session', (session) => {
    calls.set(session, 0);
    session.once('close', () => calls.delete(session));
  });
  server.on('stream', (stream) => {
    const { session } = stream;
    const count = session === undefined ? undefined : calls.get(session);
    if (session === undefined || count === undefined) {
      return;
    }
    calls.set(session, count + 1);
    stream.once('close', () => {
      noteEnd(calls, session);
    });
  });
  server.maxConnections = limit;
  server.on('drop', () => {
    for (const [session, count] of calls) {
      if (count === 0) {
        session.destroy();
        return;
      }
    }
  });
}

/** Moves the session behind those that became idle before; one that has closed meanwhile is not taken in again. */
function noteEnd(calls: Map<Http2Session, number>, session: Http2Session): void {
  const count = calls.get(session);
  if (count !== undefined) {
    calls.delete(session);
    calls.set(session, count - 1);
  }
}
