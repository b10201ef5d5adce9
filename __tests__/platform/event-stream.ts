import type { IncomingHttpHeaders, ServerResponse } from 'node:http';

import { formatEvent, lineEnds, type LineEnd } from './spoiled-stream.js';

/** The stream with which a test engine answers. Header fields of the request set its size. */

export const streamHeaders = {
  eventCount: 'x-event-count',
  eventBytes: 'x-event-bytes',
  eventText: 'x-event-text',
  lineEnd: 'x-event-line-end',
  bodyEnd: 'x-event-body-end',
} as const;
export const usualEventCount = 20;
/** Time between two events, in milliseconds. */
export const usualEventInterval = 20;

/** `interval`: time between two events, in milliseconds. */
export type StreamWriter = (
  headers: IncomingHttpHeaders,
  response: ServerResponse,
  interval: number,
) => void;

/** Further text of each token: that of the request, and as many bytes as it asks for. */
export function readPadding(headers: IncomingHttpHeaders): string {
  const dots = '.'.repeat(Number(headers[streamHeaders.eventBytes] ?? 0));
  return `${String(headers[streamHeaders.eventText] ?? '')}${dots}`;
}

export function readLineEnd(headers: IncomingHttpHeaders): LineEnd {
  const wanted = headers[streamHeaders.lineEnd];
  return lineEnds.find((each) => each === wanted) ?? 'LF';
}

/** Writes events at a constant rate, from the one after the last that the caller has; stops when the connection is closed. */
export function writeEvents(
  headers: IncomingHttpHeaders,
  response: ServerResponse,
  interval: number,
): void {
  const last = Number(headers[streamHeaders.eventCount] ?? usualEventCount);
  const padding = readPadding(headers);
  const lineEnd = readLineEnd(headers);
  let next = Number(headers['last-event-id'] ?? 0) + 1;
  const timer = setInterval(() => {
    if (next <= last) {
      response.write(formatEvent(next, padding, lineEnd));
    }
    next += 1;
    if (next > last) {
      clearInterval(timer);
      response.end();
    }
  }, interval);
  response.on('close', () => {
    clearInterval(timer);
  });
}
