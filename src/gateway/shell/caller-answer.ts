import type { ServerResponse } from 'node:http';

import {
  endAfterBody,
  findResultCode,
  resultCodes,
  type Failure,
  type Milliseconds,
} from '../../common/index.js';
import type { RequestId } from '../../model/index.js';
import type { HeaderField } from '../../sidecar/attempts/index.js';
import { headerNames } from './request-parser.js';

/** Bytes buffered for a slow caller before reading of the upstream's answer is paused. */
const maximumBufferedBytes = 256 * 1024;
const millisecondsPerSecond = 1000;

/** Header fields that apply only to the upstream's connection. */
const droppedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'transfer-encoding',
]);

/** The body of a final answer that does not come from an upstream. */
export interface FailureBody {
  readonly error: {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    readonly advice: string;
    readonly request_id: RequestId;
  };
}

/** Writes the single answer to a caller. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #requestId: RequestId;
  readonly #endsConnection: () => boolean;
  #isStream = false;
  #chunks: Uint8Array[] = [];
  #head: { readonly status: number; readonly headers: readonly HeaderField[] } | undefined;
  #lastWrite: Milliseconds = 0;

  /** `endsConnection` returns whether the connection ends after the response; called when the response begins. */
  constructor(response: ServerResponse, requestId: RequestId, endsConnection: () => boolean) {
    this.#response = response;
    this.#requestId = requestId;
    this.#endsConnection = endsConnection;
  }

  /** Whether too many bytes are buffered for the caller. */
  get isSlow(): boolean {
    return this.#response.writableLength > maximumBufferedBytes;
  }

  /** Bytes that the caller has not read yet. */
  get bufferedBytes(): number {
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

  /** Completes the answer. */
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

  /** Sends a failure as the final answer. */
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
    this.#response.setHeader('content-type', 'application/json');
    this.#response.setHeader('content-length', body.length);
    this.#beginResponse(httpStatus);
    endAfterBody(this.#response, body);
  }

  /** Sends an answer of the gateway's own that is no failure of a request. */
  send(status: number, contentType: string, text: string): void {
    this.#response.setHeader('content-type', contentType);
    this.#beginResponse(status);
    this.#response.end(text);
  }

  /** Sends a comment on an idle stream, so that the caller can detect a connection that went silent. */
  keepAlive(now: Milliseconds, interval: Milliseconds): void {
    const isDue = now - this.#lastWrite >= interval;
    if (this.#isStream && isDue && !this.#response.writableEnded) {
      this.#lastWrite = now;
      this.#response.write(': keep-alive\n\n');
    }
  }

  /** Ends the stream with an explicit error event rather than a silent cut; `[DONE]` never follows. */
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
    this.#beginResponse(status);
  }

  #beginResponse(status: number): void {
    if (this.#endsConnection()) {
      this.#response.shouldKeepAlive = false;
    }
    this.#response.writeHead(status);
  }
}

/** The error in the format that chat completion clients expect. */
export function describeFailure(failure: Failure, requestId: RequestId): FailureBody {
  const { number, message, advice } = findResultCode(failure);
  const text = failure.detail === '' ? message : `${message} ${failure.detail}`;
  return {
    error: { code: number, name: failure.code, message: text, advice, request_id: requestId },
  };
}
