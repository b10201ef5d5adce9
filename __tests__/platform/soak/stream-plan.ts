import type { RandomSource } from '../../../src/common/index.js';
import { streamPath } from '../deployment.js';
import { usualEventInterval } from '../event-stream.js';
import { servicePaths } from '../plain-service.js';
import { lineEnds, type LineEnd } from '../spoiled-stream.js';
import type { Exchange } from './kept-connection.js';
import { drawBetween, drawBody, type RequestPlan, type StreamPlan } from './request-plan.js';

/** The streams that callers of the soak of spoiled streams request. Times in milliseconds. */

const resumablePaths: readonly string[] = [streamPath, servicePaths.flow];
/** In the proportions in which they are drawn. */
const paths = [streamPath, servicePaths.flow, servicePaths.flowOnce] as const;
const longStreamShare = 0.2;
const longStream = { shortest: 1500, longest: 3000 };
const shortStream = { shortest: usualEventInterval, longest: 1000 };
const largestPadding = 200;
/** Share of the streams whose lines do not all end with a line feed alone. */
const otherLineEndShare = 0.3;
/** Share of the streams of plain upstreams that end with their connection. */
const connectionEndShare = 0.2;
/** Share of the callers that read nothing at first, and of much larger events. */
const slowReaderShare = 0.08;
const longestReadDelay = 2500;
const largestSlowPadding = 64 * 1024;
/** Share of the broken streams that their callers resume. */
const resumeShare = 0.7;
const leaveShare = 0.08;
const longestStay = 1500;

/** Most upstreams that one request for a stream may reach: `attempts` of its route, or one if it cannot be resumed. */
const runLimits: Readonly<Record<string, number>> = {
  [streamPath]: 3,
  [servicePaths.flow]: 2,
  [servicePaths.flowOnce]: 1,
};

/** Goes on with the caller's last stream if that broke and may be resumed, and else requests a new one. */
export function drawStreamPlan(random: RandomSource, last: Exchange | undefined): RequestPlan {
  const resumed = findResumed(last);
  const isResumed = random.fraction() < resumeShare;
  const isSlowReader = random.fraction() < slowReaderShare;
  const answer = isResumed && resumed !== undefined ? resumed : drawStream(random, isSlowReader);
  const isLeaving = random.fraction() < leaveShare;
  return {
    body: drawBody(random),
    answer,
    readDelay: isSlowReader ? random.integerBelow(longestReadDelay) : 0,
    ...(isLeaving ? { leaveAfter: random.integerBelow(longestStay) } : {}),
  };
}

export function isResumable({ path }: StreamPlan): boolean {
  return resumablePaths.includes(path);
}

export function maximumRuns({ path }: StreamPlan): number {
  return runLimits[path] ?? 1;
}

/** The rest of a broken stream that may be resumed. */
function findResumed(last: Exchange | undefined): StreamPlan | undefined {
  if (last?.plan.answer.type !== 'stream' || last.ending.type !== 'broken') {
    return undefined;
  }
  const { answer } = last.plan;
  const resumeAfter = last.stream?.lastEvent ?? answer.resumeAfter;
  return isResumable(answer) ? { ...answer, resumeAfter } : undefined;
}

function drawStream(random: RandomSource, isSlowReader: boolean): StreamPlan {
  const { shortest, longest } = random.fraction() < longStreamShare ? longStream : shortStream;
  const duration = drawBetween(random, shortest, longest);
  const path = paths[random.integerBelow(paths.length)] ?? streamPath;
  const isEndedByConnection = path !== streamPath && random.fraction() < connectionEndShare;
  return {
    type: 'stream',
    path,
    resumeAfter: 0,
    eventCount: Math.round(duration / usualEventInterval),
    eventBytes: random.integerBelow(isSlowReader ? largestSlowPadding : largestPadding),
    lineEnd: drawLineEnd(random),
    bodyEnd: isEndedByConnection ? 'connection' : 'chunk',
  };
}

function drawLineEnd(random: RandomSource): LineEnd {
  const isOther = random.fraction() < otherLineEndShare;
  return (isOther ? lineEnds[random.integerBelow(lineEnds.length)] : undefined) ?? 'LF';
}
