import type { ServerResponse } from 'node:http';

import {
  ByteBuffer,
  endAfterBody,
  findResultCode,
  isBodyUnread,
  type Failure,
} from '../../common/index.js';
import { isFramedResponse } from '../../wire/index.js';
import { maximumEventBytes, type EventFault, type EventReader } from '../events/index.js';
import { isSuccess, isUpstreamFailure } from '../response-status.js';
import type { RawHeaders } from './dialect.js';

/** Writes the response to a caller from the responses of one or more upstreams in succession. */

/**
 * Responses up to this size are buffered until they are complete, so that the request can be retried after an interruption without the
 * caller noticing. Responses of plain services have about a kilobyte.
 */
const maximumBufferedBytes = 256 * 1024;
/** A response that is no success is buffered until it is complete; it has at most this size. */
const maximumErrorBytes = 1024 * 1024;
/** Bytes that may be queued for a slow caller before reading from the upstream is paused. */
const maximumBacklog = 64 * 1024;
const millisecondsPerSecond = 1000;

/** Hop-by-hop headers, and those that the gateway sets itself. */
const connectionFields: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'te',
  'trailer',
]);

interface Head {
  readonly status: number;
  readonly rawHeaders: RawHeaders;
  /**
   * False if the body is delimited only by the end of the upstream's connection. It may be truncated then, because the upstream may have
   * ended in the middle of it. With a content length or a final chunk, a truncated body would look complete to the caller, who would not
   * retry; so it is forwarded without either, and ended by closing the connection.
   */
  readonly isFramed: boolean;
}

export class ResponseWriter {
  readonly #response: ServerResponse;
  readonly #endsConnection: () => boolean;
  readonly #isMemoryShort: () => boolean;
  #head: Head | undefined;
  /** Undefined if the current response is no stream. */
  #reader: EventReader | undefined;
  readonly #buffered = new ByteBuffer();
  #isHeadWritten = false;
  /** Whether the headers of the current response delimit its body. */
  #isCurrentFramed = false;
  #lastEventId: string | undefined;

  constructor(
    response: ServerResponse,
    endsConnection: () => boolean,
    isMemoryShort: () => boolean = () => false,
  ) {
    this.#response = response;
    this.#isMemoryShort = isMemoryShort;
    this.#endsConnection = endsConnection;
  }

  /** Identifier of the last event that was forwarded completely. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether a part of the response has been forwarded to the caller. */
  get isPassedOn(): boolean {
    return this.#isHeadWritten;
  }

  /**
   * Whether a response that ended without an error is known to be complete and is not an upstream failure. Unframed responses do not count,
   * since a broken connection cannot be distinguished from the end of the body.
   */
  get isSuccess(): boolean {
    return this.#isCurrentFramed && !this.isFailure;
  }

  /** Whether the upstream responded with a server error, or not at all. */
  get isFailure(): boolean {
    return isUpstreamFailure(this.#head?.status);
  }

  /** Whether only the end of its connection delimits the current response. */
  get isUnframed(): boolean {
    return this.#head !== undefined && !this.#isCurrentFramed;
  }

  /**
   * Whether the current response is a stream that would end inside an event, or without any of its events. Then it was broken off, even if it
   * was announced as complete.
   */
  get isIncompleteStream(): boolean {
    return this.#reader?.isIncomplete === true;
  }

  /** Whether the current response holds back more bytes than any sound one, or makes up no event of so many, so that its end cannot be expected. */
  get isOverlong(): boolean {
    const isError = !this.#isHeadWritten && this.#buffered.length > maximumErrorBytes;
    return isError || (this.#reader?.bytesSinceEvent ?? 0) > maximumEventBytes;
  }

  /** Bytes of a response that is not complete, and that the caller cannot be sent yet. */
  get heldBytes(): number {
    const buffered = this.#isHeadWritten ? 0 : this.#buffered.length;
    return buffered + (this.#reader?.heldBytes ?? 0);
  }

  /** Whether too many bytes are queued for the caller; while memory is short, as soon as its connection takes no more. */
  get isSlow(): boolean {
    const { writableLength, writableNeedDrain } = this.#response;
    return writableLength > maximumBacklog || (writableNeedDrain && this.#isMemoryShort());
  }

  /**
   * Takes the status and headers of a response, and the reader of its events if it is a stream. A stream that continues on another upstream
   * keeps the headers already sent to the caller; returns false if the new response cannot continue it.
   */
  begin(status: number, rawHeaders: RawHeaders, reader: EventReader | undefined): boolean {
    this.#reader = reader;
    this.#buffered.clear();
    const isFramed = isFramedResponse(status, (name) => readHeader(rawHeaders, name));
    this.#isCurrentFramed = isFramed;
    if (this.#isHeadWritten) {
      // A framed stream must not continue with an unframed response, whose end cannot be told from an interruption.
      const isContinuable = isFramed || this.#head?.isFramed === false;
      return reader !== undefined && isContinuable && status === this.#head?.status;
    }
    this.#head = { status, rawHeaders, isFramed };
    return true;
  }

  /**
   * Takes bytes of the current response. The events of a stream are forwarded at once, up to the first one that does not belong to it;
   * returns what is wrong with that one.
   */
  push(bytes: Buffer): EventFault | undefined {
    if (this.#reader !== undefined) {
      return this.#pushEvents(bytes, this.#reader);
    }
    this.#pushBody(bytes);
    return undefined;
  }

  #pushBody(bytes: Buffer): void {
    if (this.#isHeadWritten) {
      this.#response.write(bytes);
      return;
    }
    this.#buffered.append(bytes);
    if (this.#buffered.length > maximumBufferedBytes && isSuccess(this.#head?.status)) {
      this.#writeHead(undefined);
      this.#response.write(this.#buffered.take(this.#buffered.length));
    }
  }

  /** Ends a complete response. */
  finish(): void {
    if (this.#reader !== undefined) {
      if (!this.#isHeadWritten) {
        this.#writeHead(undefined);
      }
      this.#response.end(this.#reader.finish());
      return;
    }
    if (this.#isHeadWritten) {
      this.#response.end();
      return;
    }
    const body = this.#buffered.take(this.#buffered.length);
    this.#writeHead(this.#head?.isFramed === true ? body.length : undefined);
    this.#response.end(body);
  }

  /**
   * Breaks the connection, because a partly forwarded response must not look complete. One without chunks may end with an orderly close of
   * its connection, so that connection is reset. What has not been sent yet is lost then: some clients see an orderly close if data arrives
   * right before a reset.
   */
  cut(): void {
    const { socket } = this.#response;
    if (this.#response.chunkedEncoding) {
      // Node sends the chunks of one turn of the event loop together at its end.
      socket?.uncork();
    } else {
      socket?.resetAndDestroy();
    }
    this.#response.destroy();
  }

  /** Sends the gateway's own error response if there is none from an upstream. */
  fail(failure: Failure): void {
    const { httpStatus, number, message, advice } = findResultCode(failure);
    const body = JSON.stringify({
      error: { code: number, name: failure.code, message, advice, detail: failure.detail },
    });
    const retry = failure.retryAfterMilliseconds;
    const endsConnection = this.#endsConnection() || isBodyUnread(this.#response.req, failure);
    this.#response.writeHead(httpStatus, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(retry === undefined ? {} : { 'retry-after': String(retry / millisecondsPerSecond) }),
      ...(endsConnection ? { connection: 'close' } : {}),
    });
    if (endsConnection) {
      endAfterBody(this.#response, body);
    } else {
      this.#response.end(body);
    }
  }

  #pushEvents(bytes: Buffer, reader: EventReader): EventFault | undefined {
    const { bytes: events, fault } = reader.push(bytes);
    if (events.length > 0) {
      if (!this.#isHeadWritten) {
        this.#writeHead(undefined);
      }
      this.#lastEventId = reader.lastEventId ?? this.#lastEventId;
      this.#response.write(events);
    }
    return fault;
  }

  #writeHead(length: number | undefined): void {
    const head = this.#head;
    if (head === undefined) {
      throw new Error('response data arrived before the response headers');
    }
    this.#isHeadWritten = true;
    const fields = dropConnectionFields(head.rawHeaders);
    if (length !== undefined && head.status !== 204 && head.status !== 304) {
      fields.push('content-length', String(length));
    }
    if (!head.isFramed) {
      this.#response.useChunkedEncodingByDefault = false;
    }
    if (this.#endsConnection() || !head.isFramed) {
      fields.push('connection', 'close');
    }
    this.#response.writeHead(head.status, fields);
  }
}

/** Names, in lower case, of the fields that a value of a `Connection` header says to concern the connection only. */
export function listConnectionFields(value: string): readonly string[] {
  return value.split(',').map((name) => name.trim().toLowerCase());
}

/** Removes hop-by-hop headers, including those that a `Connection` header names. */
export function dropConnectionFields(rawHeaders: RawHeaders): string[] {
  const named = new Set<string>();
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]?.toLowerCase() === 'connection') {
      listConnectionFields(rawHeaders[at + 1] ?? '').forEach((name) => named.add(name));
    }
  }
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at] ?? '';
    const key = name.toLowerCase();
    if (!connectionFields.has(key) && !named.has(key)) {
      kept.push(name, rawHeaders[at + 1] ?? '');
    }
  }
  return kept;
}

/** Returns all values of a header, separated by commas. */
function readHeader(rawHeaders: RawHeaders, name: string): string | undefined {
  const values = rawHeaders.filter(
    (_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === name,
  );
  return values.length === 0 ? undefined : values.join(',');
}
