import { lineEndBytes } from '../spoiled-stream.js';
import { formatStream, type StreamPlan } from './request-plan.js';

/** What a caller got of a stream. */
export interface ReceivedStream {
  /** Number of the last whole event up to which all belong to the stream; that after which it was resumed if there is none. */
  readonly lastEvent: number;
  /** The beginning of what belongs to no event of the stream, or not to this place in it; undefined if there is nothing. */
  readonly foreign: string | undefined;
}

const reportedBytes = 200;

/** Compares the body of the response to a request, in Latin-1, with the stream that was asked for. */
export function readStream(id: string, plan: StreamPlan, body: string): ReceivedStream {
  const expected = formatStream(id, plan);
  const eventEnd = lineEndBytes[plan.lineEnd].repeat(2);
  const soundLength = findCommonLength(expected, body);
  const lastEvent = plan.resumeAfter + expected.slice(0, soundLength).split(eventEnd).length - 1;
  const foreign =
    soundLength === body.length ? undefined : body.slice(soundLength, soundLength + reportedBytes);
  return { lastEvent, foreign };
}

function findCommonLength(one: string, other: string): number {
  if (one.startsWith(other)) {
    return other.length;
  }
  let length = 0;
  while (length < one.length && one[length] === other[length]) {
    length += 1;
  }
  return length;
}
