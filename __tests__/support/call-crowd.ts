/** Many clients that send what they like on streams of the port for calls between processes. */
import { connect, type ClientHttp2Session } from 'node:http2';

import { Flood } from './flood.js';

export interface CallBytes {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** In Latin-1. */
  readonly beginning: string;
  readonly connections: number;
  readonly callsPerConnection: number;
}

export class CallCrowd {
  readonly #sessions: readonly ClientHttp2Session[];

  /** Each call sends the beginning, and zeros without end after it. */
  constructor(address: string, bytes: CallBytes) {
    this.#sessions = Array.from({ length: bytes.connections }, () => {
      const session = connect(`http://${address}`);
      session.on('error', () => undefined);
      for (let call = 0; call < bytes.callsPerConnection; call += 1) {
        startCall(session, bytes);
      }
      return session;
    });
  }

  close(): void {
    this.#sessions.forEach((session) => {
      session.destroy();
    });
  }
}

function startCall(session: ClientHttp2Session, { path, headers, beginning }: CallBytes): void {
  const stream = session.request({ ':method': 'POST', ':path': path, ...headers });
  stream.resume();
  new Flood(stream, beginning, '\0');
}
