import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { z } from 'zod';

import { createIdentifier, closeServer, openServer, type ManagedPart } from '../common/index.js';
import { isArtifactCovered, type Artifact } from '../model/index.js';
import { startAnnouncing } from './announcer.js';
import {
  chatRequestSchema,
  createToken,
  doneEvent,
  formatChunk,
  formatCompletion,
  type ChatRequest,
} from './chat.js';
import { sendJson, readJson } from './http.js';

/** A fake model engine for tests: loads models on command, streams tokens at a configured rate, and stops when the caller disconnects. */

const artifactSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()).readonly(),
});

const roleSchema = z.strictObject({ group: z.string(), rank: z.int(), size: z.int() });

const orderNumberFields = { fencingNumber: z.int(), sequence: z.int() };

const orderSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.enum(['loadModel', 'loadAdapters', 'changeVersion', 'unload']),
    artifact: artifactSchema,
    ...orderNumberFields,
  }),
  z.strictObject({ type: z.literal('changeRole'), role: roleSchema, ...orderNumberFields }),
]);

export interface StandInEngineOptions {
  readonly listen: string;
  readonly sidecar: string;
  readonly checksFencingNumber: boolean;
  readonly capacity: number;
  readonly tokenMilliseconds: number;
  readonly loadMilliseconds: number;
  /** The process ends when it begins to answer a request with this text in one of its messages; undefined for never. */
  readonly crashOn?: string;
}

/** The part of a model engine that runs on one host. */
export class StandInEngine implements ManagedPart {
  readonly name = 'stand-in engine';
  readonly #options: StandInEngineOptions;
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  #loadedArtifacts: readonly Artifact[] = [];
  #fencingNumber = 0;
  #running = 0;
  #stopAnnouncing: (() => void) | undefined;

  constructor(options: StandInEngineOptions) {
    this.#options = options;
  }

  async open(): Promise<void> {
    await openServer(this.#server, this.#options.listen);
    this.#stopAnnouncing = startAnnouncing(this.#options.sidecar, () => ({
      type: 'engine',
      address: this.#options.listen,
      isHealthy: true,
      checksFencingNumber: this.#options.checksFencingNumber,
      loaded: this.#loadedArtifacts,
      load: { running: this.#running, queued: 0, capacity: this.#options.capacity },
    }));
  }

  close(): Promise<void> {
    this.#stopAnnouncing?.();
    return closeServer(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      if (request.url === '/orders') {
        await this.#handleOrder(request, response);
        return;
      }
      if (request.url === '/v1/chat/completions') {
        await this.#handleCompletion(chatRequestSchema.parse(await readJson(request)), response);
        return;
      }
      sendJson(response, 404, { message: 'unknown path' });
    } catch (error) {
      sendJson(response, 400, { message: String(error) });
    }
  }

  async #handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = orderSchema.parse(await readJson(request));
    if (this.#options.checksFencingNumber && order.fencingNumber < this.#fencingNumber) {
      sendJson(response, 409, { message: 'old fencing number' });
      return;
    }
    this.#fencingNumber = Math.max(this.#fencingNumber, order.fencingNumber);
    sendJson(response, 202, { message: 'order taken' });
    if (order.type === 'changeRole') {
      return;
    }
    if (order.type === 'unload') {
      this.#loadedArtifacts = [];
      return;
    }
    if (isArtifactCovered(order.artifact, this.#loadedArtifacts)) {
      return;
    }
    this.#loadedArtifacts = [];
    await delay(this.#options.loadMilliseconds);
    this.#loadedArtifacts = [order.artifact];
  }

  #crashIfAsked({ messages }: ChatRequest): void {
    const { crashOn } = this.#options;
    if (crashOn !== undefined && messages.some(({ content }) => content.includes(crashOn))) {
      process.kill(process.pid, 'SIGKILL');
    }
  }

  async #handleCompletion(chat: ChatRequest, response: ServerResponse): Promise<void> {
    this.#running += 1;
    try {
      await this.#writeCompletion(chat, response);
    } finally {
      this.#running -= 1;
    }
  }

  async #writeCompletion(chat: ChatRequest, response: ServerResponse): Promise<void> {
    const id = createIdentifier();
    if (chat.stream) {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
    }
    let text = '';
    for (let index = 0; index < chat.max_tokens; index += 1) {
      await delay(this.#options.tokenMilliseconds);
      if (response.destroyed) {
        return;
      }
      this.#crashIfAsked(chat);
      const token = createToken(chat, index);
      text += token;
      if (chat.stream) {
        response.write(formatChunk(chat, id, token));
      }
    }
    if (chat.stream) {
      response.end(doneEvent);
      return;
    }
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(formatCompletion(chat, id, text));
  }
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
