import type { IncomingHttpHeaders } from 'node:http';

import type { Dispatcher } from 'undici';

/** One request to one upstream, as undici carries it out. */

/** What an attempt tells; after `cancel` it tells nothing more. */
export interface AttemptListener {
  readonly onHead: (status: number, headers: IncomingHttpHeaders, rawHeaders: string[]) => void;
  readonly onData: (bytes: Buffer) => void;
  /** The whole answer came. */
  readonly onEnd: () => void;
  /** `isSent`: at least a part of the request may have reached the upstream. */
  readonly onError: (error: Error, isSent: boolean) => void;
}

/** What is sent. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

export class UpstreamAttempt {
  readonly #listener: AttemptListener;
  #controller: Dispatcher.DispatchController | undefined;
  #isOver = false;

  constructor(dispatcher: Dispatcher, request: AttemptRequest, listener: AttemptListener) {
    this.#listener = listener;
    const { method, path, headers, body } = request;
    const options: Dispatcher.DispatchOptions = {
      method: method,
      path,
      headers,
      body: body.length === 0 ? null : body,
    };
    dispatcher.dispatch(options, this.#createHandler());
  }

  /** Whether a part of the request may have reached the upstream; not while it waits for a connection. */
  get isSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Gives the attempt up; its connection is closed, so that the upstream stops working on it. */
  cancel(): void {
    this.#isOver = true;
    this.#controller?.abort(new Error('the attempt was given up'));
  }

  /** Passes over the rest of the answer; the connection stays open for other requests. */
  discard(): void {
    this.#isOver = true;
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  #createHandler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.#controller = controller;
        if (this.#isOver) {
          controller.abort(new Error('the attempt was given up before it was sent'));
        }
      },
      onResponseStart: (controller, status, headers) => {
        if (!this.#isOver) {
          this.#listener.onHead(status, headers, decodeRawHeaders(controller.rawHeaders));
        }
      },
      onResponseData: (_, chunk) => {
        if (!this.#isOver) {
          this.#listener.onData(chunk);
        }
      },
      onResponseEnd: () => {
        if (!this.#isOver) {
          this.#isOver = true;
          this.#listener.onEnd();
        }
      },
      onResponseError: (_, error) => {
        if (!this.#isOver) {
          this.#isOver = true;
          this.#listener.onError(error, this.isSent);
        }
      },
    };
  }
}

/** Header values are bytes; Latin-1 gives each of them back unchanged. */
function decodeRawHeaders(
  rawHeaders: Dispatcher.DispatchController['rawHeaders'] | undefined,
): string[] {
  const fields = Array.isArray(rawHeaders) ? (rawHeaders as (Buffer | string)[]) : [];
  return fields.map((field) => (typeof field === 'string' ? field : field.toString('latin1')));
}
