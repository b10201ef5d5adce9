import type { RandomSource } from '../../../src/common/index.js';
import { createStreamHeaders, streamPath } from '../deployment.js';
import { usualEventInterval, streamHeaders } from '../event-stream.js';
import { servicePaths } from '../plain-service.js';
import { formatEvents, type LineEnd } from '../spoiled-stream.js';
import { plainHeaders } from './plain-answers.js';

/** The requests that callers of the stop soak send. Times in milliseconds. */

/** `pieces`: how many parts it is sent in; `duration`: time between the first and the last. */
export interface BodyPlan {
  readonly bytes: number;
  readonly framing: 'length' | 'chunks';
  readonly pieces: number;
  readonly duration: number;
}

export interface StreamPlan {
  readonly type: 'stream';
  readonly path: string;
  /** Number of the last event that the caller has; 0 if it has none. */
  readonly resumeAfter: number;
  /** Number of the last event. */
  readonly eventCount: number;
  readonly eventBytes: number;
  readonly lineEnd: LineEnd;
  /** What tells the end of the body: the final chunk, or the end of the upstream's connection. */
  readonly bodyEnd: 'chunk' | 'connection';
}

export type AnswerPlan =
  | StreamPlan
  | {
      readonly type: 'plain';
      readonly isIdempotent: boolean;
      readonly bytes: number;
      readonly workTime: number;
    };

export interface RequestPlan {
  readonly body: BodyPlan;
  readonly answer: AnswerPlan;
  /** Time for which the caller reads nothing of the answer's body. */
  readonly readDelay: number;
  /** Time after the beginning of the request at which the caller closes its connection; undefined if it stays. */
  readonly leaveAfter?: number;
}

/** Time that a request has, at its gateway as well as by its own header field. */
export const timeLimit = 15_000;

const slowBodyShare = 0.2;
const longestBody = 2500;
const largestBody = 64 * 1024;
const longStreamShare = 0.4;
/** Long enough to begin before the signal and to go on when the port closes 2.5 s after it. */
const longStream = { shortest: 3000, longest: 5500 };
const shortStream = { shortest: 20, longest: 1500 };
const slowReaderShare = 0.08;
const slowReaderDelay = { shortest: 500, longest: 4000 };
/** More than the buffers of a connection on loopback hold. */
const largeAnswer = 6 * 1024 * 1024;
/** Below the size from which a gateway takes an event for faulty. */
const largestEvent = 128 * 1024;
const smallAnswer = 8 * 1024;
const longestWork = 800;

export function drawRequestPlan(random: RandomSource): RequestPlan {
  const isSlowReader = random.fraction() < slowReaderShare;
  const { shortest, longest } = slowReaderDelay;
  return {
    body: drawBody(random),
    answer:
      random.fraction() < 0.5 ? drawStream(random, isSlowReader) : drawPlain(random, isSlowReader),
    readDelay: isSlowReader ? drawBetween(random, shortest, longest) : 0,
  };
}

export function describePath({ answer }: RequestPlan): string {
  if (answer.type === 'stream') {
    return answer.path;
  }
  return answer.isIdempotent ? servicePaths.again : servicePaths.once;
}

export function describeHeaders(id: string, { answer, body }: RequestPlan): Record<string, string> {
  const framing = body.framing === 'length' ? { 'content-length': String(body.bytes) } : {};
  const headers = { ...createStreamHeaders(id), 'x-deadline-ms': String(timeLimit), ...framing };
  switch (answer.type) {
    case 'stream':
      return {
        ...headers,
        ...(answer.resumeAfter > 0 ? { 'last-event-id': String(answer.resumeAfter) } : {}),
        [streamHeaders.eventCount]: String(answer.eventCount),
        [streamHeaders.eventBytes]: String(answer.eventBytes),
        [streamHeaders.eventText]: nameOwner(id),
        [streamHeaders.lineEnd]: answer.lineEnd,
        [streamHeaders.bodyEnd]: answer.bodyEnd,
      };
    case 'plain':
      return {
        ...headers,
        [plainHeaders.bytes]: String(answer.bytes),
        [plainHeaders.workTime]: String(answer.workTime),
      };
  }
}

/** All bytes of the stream of a request, as a sound upstream sends them. */
export function formatStream(id: string, plan: StreamPlan): string {
  const { resumeAfter, eventCount, eventBytes, lineEnd } = plan;
  const padding = `${nameOwner(id)}${'.'.repeat(eventBytes)}`;
  return formatEvents(resumeAfter + 1, eventCount, padding, lineEnd);
}

/** Text of each event of a request's stream, so that those of another request are not taken for them. */
function nameOwner(id: string): string {
  return `-of-${id}`;
}

/** Whether a body is all of the answer that was asked for. */
export function isWholeAnswer(id: string, { answer }: RequestPlan, body: string): boolean {
  if (answer.type === 'plain') {
    return body.length === answer.bytes;
  }
  return body === formatStream(id, answer);
}

export function drawBody(random: RandomSource): BodyPlan {
  const framing = random.fraction() < 0.5 ? 'length' : 'chunks';
  const bytes = 1 + random.integerBelow(largestBody);
  if (random.fraction() >= slowBodyShare) {
    return { bytes, framing, pieces: 1, duration: 0 };
  }
  return {
    bytes,
    framing,
    pieces: 2 + random.integerBelow(8),
    duration: random.integerBelow(longestBody),
  };
}

function drawStream(random: RandomSource, isLarge: boolean): AnswerPlan {
  const { shortest, longest } = random.fraction() < longStreamShare ? longStream : shortStream;
  const duration = drawBetween(random, shortest, longest);
  const eventCount = Math.max(1, Math.round(duration / usualEventInterval));
  const eventBytes = isLarge ? Math.round(largeAnswer / eventCount) : random.integerBelow(200);
  return {
    type: 'stream',
    path: streamPath,
    resumeAfter: 0,
    eventCount,
    eventBytes: Math.min(eventBytes, largestEvent),
    lineEnd: 'LF',
    bodyEnd: 'chunk',
  };
}

function drawPlain(random: RandomSource, isLarge: boolean): AnswerPlan {
  const bytes = isLarge ? largeAnswer : 1 + random.integerBelow(smallAnswer);
  const isIdempotent = random.fraction() < 0.5;
  return { type: 'plain', isIdempotent, bytes, workTime: random.integerBelow(longestWork) };
}

export function drawBetween(random: RandomSource, least: number, most: number): number {
  return least + random.integerBelow(most - least);
}
