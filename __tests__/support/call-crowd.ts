/** Many clients that send what they like on streams of the port for calls between processes. */
import { connect, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2';

const block = Buffer.alloc(64 * 1024);

export interface CallBytes {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly beginning: Buffer;
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
  stream.on('error', () => undefined);
  stream.resume();
  stream.on('drain', () => {
    write(stream);
  });
  stream.write(beginning);
  write(stream);
}

function write(stream: ClientHttp2Stream): void {
  setImmediate(() => {
    if (!stream.destroyed && stream.write(block)) {
      write(stream);
    }
  });
}
