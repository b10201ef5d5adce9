import type { IncomingHttpHeaders } from 'node:http';

import type { Dispatcher } from 'undici';

import type { Milliseconds } from '../../common/index.js';
import {
  lowestFinalStatus,
  type LimitedClient,
  type LimitedRequestOptions,
} from '../../wire/index.js';

/** One request to one upstream, sent with undici. */

/** A response that is discarded may go on for so many bytes and so long; then its connection is closed. */
const maximumDiscardedBytes = 64 * 1024;
const maximumDiscardTime: Milliseconds = 1000;

/** Callbacks of an attempt; none is called after `cancel` or `discard`. */
export interface AttemptListener {
  /** The request is being written to a connection. */
  readonly onStart: () => void;
  readonly onHead: (status: number, headers: IncomingHttpHeaders, rawHeaders: string[]) => void;
  readonly onData: (bytes: Buffer) => void;
  /** The response is complete. */
  readonly onEnd: () => void;
  /** `isSent`: whether any part of the request may have reached the upstream. */
  readonly onError: (error: Error, isSent: boolean) => void;
}

export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

export class UpstreamAttempt {
  readonly #listener: AttemptListener;
  #client: LimitedClient | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #isOver = false;
  #discardedBytes = 0;
  #discardTimer: NodeJS.Timeout | undefined;

  constructor(dispatcher: Dispatcher, request: AttemptRequest, listener: AttemptListener) {
    this.#listener = listener;
    const { method, path, headers, body } = request;
    const options: Dispatcher.DispatchOptions & LimitedRequestOptions = {
      method: method,
      path,
      headers,
      body: body.length === 0 ? null : body,
      onAssigned: (client) => {
        this.#client = client;
      },
    };
    dispatcher.dispatch(options, this.#createHandler());
  }

  /** Whether any part of the request may have reached the upstream; false while it waits for a connection. */
  get isSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Aborts the attempt and closes its connection, so that the upstream stops processing it. */
  cancel(): void {
    this.#isOver = true;
    this.#controller?.abort(new Error('the attempt was aborted'));
  }

  /** Ignores the rest of the response. The connection stays open for other requests if the rest is short and ends soon. */
  discard(): void {
    this.#isOver = true;
    this.#discardTimer = setTimeout(() => {
      this.cancel();
    }, maximumDiscardTime).unref();
    this.resume();
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  #noteDiscarded(bytes: number): void {
    this.#discardedBytes += bytes;
    if (this.#discardedBytes > maximumDiscardedBytes) {
      this.cancel();
    }
  }

  #createHandler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.#controller = controller;
        if (this.#isOver) {
          controller.abort(new Error('the attempt was aborted before it was sent'));
          return;
        }
        this.#listener.onStart();
      },
      onResponseStart: (controller, status, headers) => {
        this.#client?.noteHead(status);
        if (!this.#isOver && status >= lowestFinalStatus) {
          this.#listener.onHead(status, headers, decodeRawHeaders(controller.rawHeaders));
        }
      },
      onResponseData: (_, chunk) => {
        if (this.#isOver) {
          this.#noteDiscarded(chunk.length);
        } else {
          this.#listener.onData(chunk);
        }
      },
      onResponseEnd: () => {
        clearTimeout(this.#discardTimer);
        if (!this.#isOver) {
          this.#isOver = true;
          this.#listener.onEnd();
        }
      },
      onResponseError: (_, error) => {
        clearTimeout(this.#discardTimer);
        if (!this.#isOver) {
          this.#isOver = true;
          this.#listener.onError(error, this.isSent);
        }
      },
    };
  }
}

/** Decodes header values as Latin-1, which preserves every byte. */
function decodeRawHeaders(
  rawHeaders: Dispatcher.DispatchController['rawHeaders'] | undefined,
): string[] {
  const fields = Array.isArray(rawHeaders) ? (rawHeaders as (Buffer | string)[]) : [];
  return fields.map((field) => (typeof field === 'string' ? field : field.toString('latin1')));
}
