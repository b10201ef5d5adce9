import { ByteBlocks } from '../common/index.js';
import { isEventStream, type HeaderField } from '../sidecar/attempts/index.js';
import {
  EventReader,
  maximumEventBytes,
  type EventFault,
  type EventFormat,
} from './events/index.js';
import type { RequestEffect } from './messages.js';
import { isSuccess, isUpstreamFailure } from './response-status.js';

/** Result of appending bytes to an answer. */
export type AppendResult =
  | { readonly type: 'effects'; readonly effects: readonly RequestEffect[] }
  | { readonly type: 'tooLarge' }
  /** An event does not belong to the stream; the effects pass on the ones before it. */
  | {
      readonly type: 'faulty';
      readonly fault: EventFault;
      readonly effects: readonly RequestEffect[];
    };

/** Upstreams of models stream chat completions, whose events have no numbers. */
const eventFormat: EventFormat = { type: 'plain' };

/** Size of the parts in which the body of an answer that is not streamed is kept, in bytes. */
const blockBytes = 64 * 1024;

interface Head {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly isStream: boolean;
}

/**
 * Assembles the answer for the caller from the bytes of an attempt.
 * An event stream is forwarded event by event. Other answers are buffered until they are complete, so that the request
 * can still be retried.
 */
export class AnswerAssembler {
  readonly #maximumBytes: number;
  #head: Head | undefined;
  readonly #body = new ByteBlocks(blockBytes);
  #receivedBytes = 0;
  #reader = new EventReader(eventFormat);
  #hasStarted = false;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Whether the answer has been started at the caller; then it can no longer be taken from another attempt. */
  get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /** Bytes received from the current attempt. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Whether the kind of answer is known; no bytes can be accepted before. */
  get hasHead(): boolean {
    return this.#head !== undefined;
  }

  /** Whether the answer is an event stream. */
  get isStream(): boolean {
    return this.#head?.isStream === true;
  }

  /** Whether the answer is an event stream that would end inside an event; it was broken off then. */
  get isInsideEvent(): boolean {
    return this.isStream && this.#reader.isInsideEvent;
  }

  /** Whether the answer is a server error of the upstream, or has not begun. */
  get isFailure(): boolean {
    return isUpstreamFailure(this.#head?.status);
  }

  /** Sets the head; later heads of the same attempt are ignored. */
  setHead(status: number, headers: readonly HeaderField[]): void {
    this.#head ??= { status, headers, isStream: isSuccess(status) && isEventStream(headers) };
  }

  /** Discards the data of a failed attempt; only allowed before anything was sent to the caller. */
  reset(): void {
    this.#head = undefined;
    this.#body.clear();
    this.#receivedBytes = 0;
    this.#reader = new EventReader(eventFormat);
  }

  append(bytes: Uint8Array): AppendResult {
    this.#receivedBytes += bytes.length;
    if (this.isStream) {
      return this.#stream(bytes);
    }
    if (this.#receivedBytes > this.#maximumBytes) {
      return { type: 'tooLarge' };
    }
    this.#body.append(bytes);
    return { type: 'effects', effects: [] };
  }

  /** Completes the answer and returns the remaining effects. */
  finish(): readonly RequestEffect[] {
    const rest = this.isStream ? [this.#reader.finish()] : this.#body.blocks;
    const bytes = rest.filter((chunk) => chunk.length > 0);
    return [
      ...this.#start(),
      ...bytes.map((chunk): RequestEffect => ({ type: 'answerBytes', bytes: chunk })),
      { type: 'answerEnd' },
    ];
  }

  #stream(bytes: Uint8Array): AppendResult {
    const { bytes: whole, fault } = this.#reader.push(bytes);
    if (this.#reader.bytesSinceEvent > maximumEventBytes) {
      return { type: 'tooLarge' };
    }
    const effects: readonly RequestEffect[] =
      whole.length === 0 ? [] : [...this.#start(), { type: 'answerBytes', bytes: whole }];
    return fault === undefined ? { type: 'effects', effects } : { type: 'faulty', fault, effects };
  }

  #start(): readonly RequestEffect[] {
    if (this.#hasStarted) {
      return [];
    }
    this.#hasStarted = true;
    const head = this.#head ?? { status: 200, headers: [], isStream: false };
    return [{ type: 'answerHead', ...head }];
  }
}
