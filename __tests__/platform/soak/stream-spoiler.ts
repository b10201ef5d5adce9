import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import {
  readLineEnd,
  readPadding,
  streamHeaders,
  usualEventCount,
  usualEventInterval,
} from '../event-stream.js';
import { answerSoundly } from '../plain-service.js';
import {
  beginStream,
  continuations,
  formatEvent,
  formatEvents,
  lineEndBytes,
  spoiledEvents,
  type Continuation,
  type LineEnd,
} from '../spoiled-stream.js';
import {
  answerFaultily,
  besideForms,
  drawWholeForm,
  endResponse,
  writeBeforeHead,
  writeBetweenChunks,
  type BesideForm,
  type FaultyForm,
  type FaultyResponse,
} from './faulty-response.js';

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

/** The rest of a stream, as its request asks for it. */
interface AskedStream {
  readonly first: number;
  readonly last: number;
  readonly padding: string;
  readonly lineEnd: LineEnd;
}

const spoiledShare = 0.15;
/** Share of those that go on where another attempt, or the caller's last request, broke. */
const resumedSpoiledShare = 0.3;
/** Share of the streams with comments between two events, which are no part of them. */
const commentShare = 0.1;
/** Share of the streams beside which an upstream sends more, and of the plain responses that are no stream of the request. */
const besideShare = 0.06;
const wholeShare = 0.06;
/** Long bytes are written in so many writes. */
const longestWriteCount = 4;
const reportedBytes = 100;
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
  readonly faulty: FaultyResponse[] = [];
  /** How often upstreams have begun to answer each request, by attempt id. */
  readonly runs = new Map<string, number>();
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
    if (this.#draws(wholeShare)) {
      const form = drawWholeForm(this.#random);
      const id = this.#noteFaulty(request.headers, form);
      if (answerFaultily(request, response, form)) {
        this.#noteRun(id);
      }
      return;
    }
    if (request.headers[streamHeaders.bodyEnd] === 'connection') {
      response.useChunkedEncodingByDefault = false;
      response.setHeader('connection', 'close');
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
    const beside = this.#drawBeside(headers);
    if (response.socket !== null) {
      writeBeforeHead(response.socket, beside);
    }
    response.flushHeaders();
    void this.#write(headers, response, interval, beside);
  };

  async #write(
    headers: IncomingHttpHeaders,
    response: ServerResponse,
    interval: number,
    beside: BesideForm | undefined,
  ): Promise<void> {
    const id = String(headers['x-attempt-id']);
    this.#noteRun(id);
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    const last = Number(headers[streamHeaders.eventCount] ?? usualEventCount);
    if (!(first >= 1 && first <= last + 1)) {
      // Only a gateway that believes spoiled events asks for what follows such a one.
      response.end();
      return;
    }
    const padding = readPadding(headers);
    const lineEnd = readLineEnd(headers);
    const asked = { first, last, padding, lineEnd };
    const spoilage = this.#draw(asked);
    const { place = last + 1, bytes = '', continuation } = spoilage ?? {};
    const before = this.#formatBefore(asked, place);
    const after =
      continuation === 'the other events' ? formatEvents(place, last, padding, lineEnd) : '';
    const text = Buffer.from(`${before}${bytes}${after}`, 'latin1');
    const eventLength = formatEvent(last, padding, lineEnd).length;
    const largestWrite = 2 * Math.max(eventLength, Math.ceil(bytes.length / longestWriteCount));
    let isBetweenDue = true;
    for (let at = 0; at < text.length && !response.destroyed;) {
      const end = at + 1 + this.#random.integerBelow(largestWrite);
      response.write(text.subarray(at, end));
      if (spoilage !== undefined && at <= before.length && end > before.length) {
        this.spoiled.push({ ...spoilage, bytes: bytes.slice(0, reportedBytes), id });
      }
      at = end;
      if (isBetweenDue && response.socket !== null) {
        isBetweenDue = false;
        writeBetweenChunks(response.socket, beside);
      }
      await pause(interval);
    }
    if (continuation === 'a reset') {
      response.socket?.resetAndDestroy();
    } else {
      await endResponse(response, id, beside, this.#random);
    }
  }

  /** The sound events before a place; a share of them with comments between two. */
  #formatBefore({ first, padding, lineEnd }: AskedStream, place: number): string {
    if (!this.#draws(commentShare)) {
      return formatEvents(first, place - 1, padding, lineEnd);
    }
    const end = lineEndBytes[lineEnd];
    const comments = `: of no run${end}${end}:${end}${end}`;
    const next = first + this.#random.integerBelow(place - first + 1);
    const before = formatEvents(first, next - 1, padding, lineEnd);
    return `${before}${comments}${formatEvents(next, place - 1, padding, lineEnd)}`;
  }

  #draw({ first, last, padding, lineEnd }: AskedStream): Spoilage | undefined {
    if (!this.#draws(first === 1 ? spoiledShare : resumedSpoiledShare)) {
      return undefined;
    }
    const place = this.#drawPlace(first, last);
    return { place, ...this.#drawBytes(place, formatEvent(place, padding, lineEnd), lineEnd) };
  }

  #drawBeside(headers: IncomingHttpHeaders): BesideForm | undefined {
    if (!this.#draws(besideShare)) {
      return undefined;
    }
    const form = this.#drawFrom(besideForms);
    this.#noteFaulty(headers, form);
    return form;
  }

  /** Whether one of the given share of all streams is drawn. */
  #draws(share: number): boolean {
    return !this.#isStopped && this.#random.fraction() < share;
  }

  #noteFaulty(headers: IncomingHttpHeaders, form: FaultyForm): string {
    const id = String(headers['x-attempt-id']);
    this.faulty.push({ id, form });
    return id;
  }

  #noteRun(id: string): void {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
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

  #drawBytes(
    place: number,
    event: string,
    lineEnd: LineEnd,
  ): Pick<Spoilage, 'form' | 'bytes' | 'continuation'> {
    if (this.#random.fraction() < partShare) {
      const longest = event.length - lineEndBytes[lineEnd].length;
      const bytes = event.slice(0, 1 + this.#random.integerBelow(longest));
      return { form: partForm, bytes, continuation: this.#drawFrom(partContinuations) };
    }
    const [form, create] = this.#drawFrom(forms);
    return { form, bytes: create(place), continuation: this.#drawFrom(continuations) };
  }

  #drawFrom<Value>(values: readonly Value[]): Value {
    return values[this.#random.integerBelow(values.length)] as Value;
  }
}
