import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import {
  answerSoundly,
  servicePaths,
  type PlainService,
  type ServiceAnswer,
} from './plain-service.js';

/** Streams of a plain service, and what a faulty upstream sends in them. */

export const eventCount = 10;
/** Sound requests before a spoiled stream, of which the service's budget for retries is a share. */
const soundRequestCount = 20;
/** Time between two writes of a stream, in milliseconds; each arrives by itself. */
const writeInterval = 10;

/** How the lines of events may end. */
export const lineEnds = ['LF', 'CRLF', 'CR'] as const;
export type LineEnd = (typeof lineEnds)[number];
export const lineEndBytes: Readonly<Record<LineEnd, string>> = {
  LF: '\n',
  CRLF: '\r\n',
  CR: '\r',
};

/** More than a gateway takes for an event. */
const longLine = 'x'.repeat(300 * 1024);

/** `padding`: further text of the token. */
export function formatEvent(id: number, padding = '', lineEnd: LineEnd = 'LF'): string {
  const end = lineEndBytes[lineEnd];
  return `id: ${id}${end}data: token ${id}${padding}${end}${end}`;
}

/** The events from one to another, both included. */
export function formatEvents(
  first: number,
  last: number,
  padding = '',
  lineEnd: LineEnd = 'LF',
): string {
  const ids = Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
  return ids.map((id) => formatEvent(id, padding, lineEnd)).join('');
}

export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => unknown;

export const wholeStream = formatEvents(1, eventCount);

/** What belongs to no event of the stream, in place of the event with the given number. */
export const spoiledEvents: Readonly<Record<string, (next: number) => string>> = {
  'an event without an id': () => 'data: of no run\n\n',
  'an event with an empty id': () => 'id:\ndata: of no run\n\n',
  'an event with a blank id': () => 'id: \ndata: of no run\n\n',
  text: () => 'no event\n\n',
  'text glued to the next event': (next) => `no event\n${formatEvent(next)}`,
  'text that ends with carriage returns': () => 'data: of no run\r\r',
  bytes: () => '\0\u00ff\u00fe\n\n',
  'a second response': () => 'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nno event',
  'a field of a head': (next) => `Content-Length: 8\n${formatEvent(next)}`,
  'an earlier event': (next) => formatEvent(next - 3),
  'the same event again': (next) => formatEvent(next - 1),
  'an event too late': (next) => formatEvent(next + 1),
  'an id that is a word': () => 'id: abc\ndata: of no run\n\n',
  'a negative id': (next) => `id: -${next}\ndata: of no run\n\n`,
  'an id with a fraction': (next) => `id: ${next}.5\ndata: of no run\n\n`,
  'an id with leading zeros': (next) => `id: 00${next}\ndata: of no run\n\n`,
  'an id of twenty digits': () => 'id: 12345678901234567890\ndata: of no run\n\n',
  'two ids': (next) => `id: ${next}\nid: ${next}\ndata: of no run\n\n`,
  'an event without data': (next) => `id: ${next}\n\n`,
  'an event with a very long line': () => `data: ${longLine}\n\n`,
  'a line without end': () => longLine,
  'several faults': (next) => `data: of no run\n\nno event\n\nid: -${next}\ndata: of no run\n\n`,
};

/** What follows the spoiled event. */
export const continuations = ['the other events', 'its end', 'a reset'] as const;
export type Continuation = (typeof continuations)[number];

/** Number of the event after which the caller, or the gateway, resumes the stream; 0 from the start. */
export function readResumePoint({ headers }: IncomingMessage): number {
  return Number(headers['last-event-id'] ?? 0);
}

export function beginStream(request: IncomingMessage, response: ServerResponse): void {
  const id = String(request.headers['x-attempt-id']);
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-attempt-id': id,
    'x-response-seal': `seal of ${id}`,
  });
}

/** Sends all events after the last one that the other side has. */
export function streamSoundly(request: IncomingMessage, response: ServerResponse): void {
  beginStream(request, response);
  response.end(formatEvents(readResumePoint(request) + 1, eventCount));
}

/** Answers as a sound upstream does: with a stream on the streaming routes of the service. */
export function handleSoundly(request: IncomingMessage, response: ServerResponse): void {
  const isStream = request.url?.startsWith('/flow') === true;
  (isStream ? streamSoundly : answerSoundly)(request, response);
}

/** The given handlers answer the next requests of the service in turn; all others are answered soundly. */
export function handleInTurn(
  { upstreams }: PlainService,
  ...handlers: readonly UpstreamHandler[]
): void {
  const left = [...handlers];
  for (const upstream of upstreams) {
    upstream.handle = (request, response) => {
      (left.shift() ?? handleSoundly)(request, response);
    };
  }
}

/** Sends requests to upstreams that answer soundly, and returns the answers that are no success. */
export async function sendSoundRequests(service: PlainService): Promise<readonly ServiceAnswer[]> {
  handleInTurn(service);
  const calls = Array.from({ length: soundRequestCount }, () =>
    service.call(0, servicePaths.again),
  );
  return (await Promise.all(calls)).filter(({ status }) => status !== 200);
}

/** Sends sound events up to the given one, then the spoiled one, then what is to follow. */
export async function streamSpoiled(
  request: IncomingMessage,
  response: ServerResponse,
  soundCount: number,
  spoiled: string,
  continuation: Continuation,
): Promise<void> {
  beginStream(request, response);
  response.flushHeaders();
  const first = readResumePoint(request) + 1;
  const writes = [formatEvents(first, soundCount), spoiled].filter((text) => text !== '');
  for (const text of writes) {
    response.write(Buffer.from(text, 'latin1'));
    await pause(writeInterval);
  }
  switch (continuation) {
    case 'the other events':
      response.end(formatEvents(soundCount + 1, eventCount));
      return;
    case 'its end':
      response.end();
      return;
    case 'a reset':
      response.socket?.resetAndDestroy();
  }
}
