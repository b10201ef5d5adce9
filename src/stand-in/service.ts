import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { closeServer, openServer, type ManagedPart } from '../common/index.js';
import { startAnnouncing } from './announcer.js';
import { sendJson } from './http.js';

/**
 * A fake plain service for tests: counts and echoes each call, so that a test can detect duplicate calls.
 * A GET of {@link callsPath} returns the number of calls by path.
 */

/** Path at which tests read the call counts; calls to it are not counted. */
export const callsPath = '/stand-in/calls';

export interface StandInServiceOptions {
  readonly listen: string;
  readonly sidecar: string;
  readonly service: string;
  readonly capacity: number;
  readonly answerMilliseconds: number;
}

/** An upstream of a plain service. */
export class StandInService implements ManagedPart {
  readonly name = 'stand-in service';
  readonly #options: StandInServiceOptions;
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  readonly #callCountByPath = new Map<string, number>();
  #callCount = 0;
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
      sendJson(response, 200, Object.fromEntries(this.#callCountByPath));
      return;
    }
    this.#callCount += 1;
    const call = this.#callCount;
    this.#callCountByPath.set(path, (this.#callCountByPath.get(path) ?? 0) + 1);
    await new Promise((resolve) => setTimeout(resolve, this.#options.answerMilliseconds));
    sendJson(response, 200, {
      service: this.#options.service,
      upstream: this.#options.listen,
      method: request.method,
      path,
      body: Buffer.concat(chunks).toString('utf8'),
      call,
    });
  }
}
