import { connect, createServer, type Server, type Socket } from 'node:net';

import type { Cleanup } from './fixture.js';
import { portOf } from './fixture.js';

/** A TCP relay that can lose track of its open connections: they stay open, and no byte passes any more. */
export class Relay {
  readonly #server: Server;
  readonly #target: string;
  readonly #pairs = new Set<{ readonly sockets: readonly Socket[]; isSilent: boolean }>();

  constructor(target: string) {
    this.#target = target;
    this.#server = createServer((near) => {
      this.#join(near);
    });
  }

  async open(cleanup: Cleanup): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    cleanup.add(() => {
      this.#server.close();
      for (const { sockets } of this.#pairs) {
        sockets.forEach((socket) => socket.destroy());
      }
    });
    return `127.0.0.1:${portOf(this.#server)}`;
  }

  /** Swallows all bytes on the connections that are open now; new ones work. */
  silence(): void {
    for (const pair of this.#pairs) {
      pair.isSilent = true;
    }
  }

  #join(near: Socket): void {
    const [host = '', port = ''] = this.#target.split(':');
    const far = connect(Number(port), host);
    const pair = { sockets: [near, far], isSilent: false };
    this.#pairs.add(pair);
    this.#pass(near, far, pair);
    this.#pass(far, near, pair);
  }

  #pass(from: Socket, to: Socket, pair: { readonly isSilent: boolean }): void {
    from.on('error', () => undefined);
    from.on('data', (bytes) => {
      if (!pair.isSilent) {
        to.write(bytes);
      }
    });
    from.on('close', () => {
      if (!pair.isSilent) {
        to.destroy();
      }
    });
  }
}
