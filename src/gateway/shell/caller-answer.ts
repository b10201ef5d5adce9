import type { ServerResponse } from 'node:http';

import {
  findResultCode,
  resultCodes,
  type Failure,
  type Milliseconds,
} from '../../common/index.js';
import type { RequestId } from '../../model/index.js';
import type { HeaderField } from '../../sidecar/attempts/index.js';
import { headerNames } from './request-parser.js';

/** Bytes that may wait for a slow caller before the upstream's answer is read no further. */
const maximumWaitingBytes = 256 * 1024;
const millisecondsPerSecond = 1000;

/** Header fields of the upstream's connection only. */
const droppedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'transfer-encoding',
]);

/** The body of a final answer that is not an answer of an upstream. */
export interface FailureBody {
  readonly error: {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    readonly advice: string;
    readonly request_id: RequestId;
  };
}

/** Writes the one answer to a caller. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #requestId: RequestId;
  #isStream = false;
  #chunks: Uint8Array[] = [];
  #head: { readonly status: number; readonly headers: readonly HeaderField[] } | undefined;
  #lastWrite: Milliseconds = 0;

  constructor(response: ServerResponse, requestId: RequestId) {
    this.#response = response;
    this.#requestId = requestId;
  }

  /** Whether the caller has too much to take already. */
  get isSlow(): boolean {
    return this.#response.writableLength > maximumWaitingBytes;
  }

  /** Bytes that the caller has not taken yet. */
  get waitingBytes(): number {
    return this.#response.writableLength;
  }

  begin(status: number, headers: readonly HeaderField[], isStream: boolean): void {
    this.#isStream = isStream;
    this.#head = { status, headers };
    if (isStream) {
      this.#writeHead(undefined);
    }
  }

  write(bytes: Uint8Array, now: Milliseconds): void {
    this.#lastWrite = now;
    if (this.#isStream) {
      this.#response.write(bytes);
    } else {
      this.#chunks.push(bytes);
    }
  }

  /** The answer is whole. */
  end(): void {
    if (!this.#isStream) {
      const body = Buffer.concat(this.#chunks);
      this.#response.setHeader(headerNames.result, resultCodes.ok.number);
      this.#writeHead(body.length);
      this.#response.end(body);
      return;
    }
    this.#response.end();
  }

  /** The one final answer when there is no whole one. */
  fail(failure: Failure): void {
    if (this.#response.headersSent) {
      this.#failStream(failure);
      return;
    }
    const { httpStatus } = findResultCode(failure);
    const body = Buffer.from(JSON.stringify(describeFailure(failure, this.#requestId)));
    this.#response.setHeader(headerNames.result, findResultCode(failure).number);
    this.#response.setHeader(headerNames.requestId, this.#requestId);
    if (failure.retryAfterMilliseconds !== undefined) {
      const seconds = Math.ceil(failure.retryAfterMilliseconds / millisecondsPerSecond);
      this.#response.setHeader('retry-after', Math.max(1, seconds));
    }
    this.#response.writeHead(httpStatus, {
      'content-type': 'application/json',
      'content-length': body.length,
    });
    this.#response.end(body);
  }

  /** A comment on a stream that is otherwise still, so that the caller notices a connection that went silent. */
  keepAlive(now: Milliseconds, interval: Milliseconds): void {
    const isDue = now - this.#lastWrite >= interval;
    if (this.#isStream && isDue && !this.#response.writableEnded) {
      this.#lastWrite = now;
      this.#response.write(': keep-alive\n\n');
    }
  }

  /** An explicit error event in place of a silent cut; never followed by `[DONE]`. */
  #failStream(failure: Failure): void {
    const data = JSON.stringify(describeFailure(failure, this.#requestId));
    this.#response.end(`event: error\ndata: ${data}\n\n`);
  }

  #writeHead(length: number | undefined): void {
    const { status, headers } = this.#head ?? { status: 200, headers: [] };
    for (const { name, value } of headers) {
      if (!droppedHeaders.has(name.toLowerCase())) {
        this.#response.appendHeader(name, value);
      }
    }
    this.#response.setHeader(headerNames.requestId, this.#requestId);
    if (length !== undefined && this.#response.req.method !== 'HEAD') {
      this.#response.setHeader('content-length', length);
    }
    this.#response.writeHead(status);
  }
}

/** The error in the shape that callers of chat completions know. */
export function describeFailure(failure: Failure, requestId: RequestId): FailureBody {
  const { number, message, advice } = findResultCode(failure);
  const text = failure.detail === '' ? message : `${message} ${failure.detail}`;
  return {
    error: { code: number, name: failure.code, message: text, advice, request_id: requestId },
  };
}
