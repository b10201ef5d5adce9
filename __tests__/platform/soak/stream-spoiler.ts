import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import { streamHeaders, usualEventCount, usualEventInterval } from '../event-stream.js';
import { answerSoundly } from '../plain-service.js';
import {
  beginStream,
  continuations,
  formatEvent,
  formatEvents,
  spoiledEvents,
  type Continuation,
} from '../spoiled-stream.js';

/** Writes the streams of engines and plain upstreams, a share of them spoiled, and all cut into writes at places that are drawn. */

/** A stream in which bytes that belong to none of its events have been written; the other side may close the connection at any of them. */
export interface SpoiledStream {
  /** Attempt id of the request. */
  readonly id: string;
  readonly form: string;
  readonly continuation: Continuation;
  /** Number of the event in whose place the bytes are. */
  readonly place: number;
  /** In Latin-1. */
  readonly bytes: string;
}

type Spoilage = Omit<SpoiledStream, 'id'>;

const spoiledShare = 0.15;
/** Shares of the spoiled streams that are spoiled in place of the first event, and after the last one. */
const firstShare = 0.2;
const endShare = 0.2;
/** A part of the next event, after which nothing but the end may follow: with other events it could make up a sound one. */
const partForm = 'a part of the next event';
const partShare = 0.1;
const partContinuations = ['its end', 'a reset'] as const;
const forms = Object.entries(spoiledEvents);

export class StreamSpoiler {
  readonly spoiled: SpoiledStream[] = [];
  /** Attempt ids of the streams that upstreams have begun. */
  readonly begun = new Set<string>();
  readonly #random: RandomSource;
  #isStopped = false;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** All streams that begin from now on are sound. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Answers a request to a plain upstream. */
  readonly answer = (request: IncomingMessage, response: ServerResponse): void => {
    if (request.url?.startsWith('/flow') !== true) {
      answerSoundly(request, response);
      return;
    }
    beginStream(request, response);
    this.writeStream(request.headers, response, usualEventInterval);
  };

  /** Writes a stream whose head has been written; as many bytes in an interval as its events have on average. */
  readonly writeStream = (
    headers: IncomingHttpHeaders,
    response: ServerResponse,
    interval: number,
  ): void => {
    response.flushHeaders();
    void this.#write(headers, response, interval);
  };

  async #write(
    headers: IncomingHttpHeaders,
    response: ServerResponse,
    interval: number,
  ): Promise<void> {
    const id = String(headers['x-attempt-id']);
    this.begun.add(id);
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    const last = Number(headers[streamHeaders.eventCount] ?? usualEventCount);
    if (!(first >= 1 && first <= last + 1)) {
      // Only a gateway that believes spoiled events asks for what follows such a one.
      response.end();
      return;
    }
    const padding = '.'.repeat(Number(headers[streamHeaders.eventBytes] ?? 0));
    const spoilage = this.#draw(first, last, padding);
    const { place = last + 1, bytes = '', continuation } = spoilage ?? {};
    const before = formatEvents(first, place - 1, padding);
    const after = continuation === 'the other events' ? formatEvents(place, last, padding) : '';
    const text = Buffer.from(`${before}${bytes}${after}`, 'latin1');
    const largestWrite = 2 * formatEvent(last, padding).length;
    for (let at = 0; at < text.length && !response.destroyed;) {
      const end = at + 1 + this.#random.integerBelow(largestWrite);
      response.write(text.subarray(at, end));
      if (spoilage !== undefined && at <= before.length && end > before.length) {
        this.spoiled.push({ ...spoilage, id });
      }
      at = end;
      await pause(interval);
    }
    if (continuation === 'a reset') {
      response.socket?.resetAndDestroy();
    } else {
      response.end();
    }
  }

  #draw(first: number, last: number, padding: string): Spoilage | undefined {
    if (this.#isStopped || this.#random.fraction() >= spoiledShare) {
      return undefined;
    }
    const place = this.#drawPlace(first, last);
    return { place, ...this.#drawBytes(place, formatEvent(place, padding)) };
  }

  #drawPlace(first: number, last: number): number {
    const fraction = this.#random.fraction();
    if (fraction < firstShare) {
      return first;
    }
    return fraction < firstShare + endShare
      ? last + 1
      : first + this.#random.integerBelow(last - first + 2);
  }

  #drawBytes(place: number, event: string): Pick<Spoilage, 'form' | 'bytes' | 'continuation'> {
    if (this.#random.fraction() < partShare) {
      const bytes = event.slice(0, 1 + this.#random.integerBelow(event.length - 1));
      return { form: partForm, bytes, continuation: this.#drawFrom(partContinuations) };
    }
    const [form, create] = this.#drawFrom(forms);
    return { form, bytes: create(place), continuation: this.#drawFrom(continuations) };
  }

  #drawFrom<Value>(values: readonly Value[]): Value {
    return values[this.#random.integerBelow(values.length)] as Value;
  }
}
