import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { closeServer, openServer, type ManagedPart } from '../common/index.js';
import { startAnnouncing } from './announcer.js';
import { answerJson } from './http.js';

/**
 * A stand-in for a plain service: counts and echoes each call, so that a test can see a repeated one.
 * A GET of {@link callsPath} lists how often each path was called.
 */

/** Where a test reads the calls; not counted itself. */
export const callsPath = '/stand-in/calls';

/** Options of a stand-in service. */
export interface StandInServiceOptions {
  readonly listen: string;
  readonly sidecar: string;
  readonly service: string;
  readonly capacity: number;
  readonly answerMilliseconds: number;
}

/** One upstream of a plain service. */
export class StandInService implements ManagedPart {
  readonly name = 'stand-in service';
  readonly #options: StandInServiceOptions;
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  readonly #callsByPath = new Map<string, number>();
  #calls = 0;
  #stopAnnouncing: (() => void) | undefined;

  constructor(options: StandInServiceOptions) {
    this.#options = options;
  }

  async open(): Promise<void> {
    await openServer(this.#server, this.#options.listen);
    this.#stopAnnouncing = startAnnouncing(this.#options.sidecar, () => ({
      type: 'service',
      address: this.#options.listen,
      isHealthy: true,
      service: this.#options.service,
      load: { running: 0, queued: 0, capacity: this.#options.capacity },
    }));
  }

  close(): Promise<void> {
    this.#stopAnnouncing?.();
    return closeServer(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
      chunks.push(chunk);
    }
    const path = request.url ?? '';
    if (path === callsPath) {
      answerJson(response, 200, Object.fromEntries(this.#callsByPath));
      return;
    }
    this.#calls += 1;
    const call = this.#calls;
    this.#callsByPath.set(path, (this.#callsByPath.get(path) ?? 0) + 1);
    await new Promise((resolve) => setTimeout(resolve, this.#options.answerMilliseconds));
    answerJson(response, 200, {
      service: this.#options.service,
      upstream: this.#options.listen,
      method: request.method,
      path,
      body: Buffer.concat(chunks).toString('utf8'),
      call,
    });
  }
}
