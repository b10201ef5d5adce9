import { z } from 'zod';

import { listLate, listPauses, maximumInPause } from '../received-requests.js';
import type { ReceivedRequest, TestEngine } from '../test-engine.js';
import type { ProcessLives } from './process-lives.js';
import { idSeparator, type CallerResult } from './soak-callers.js';
import { settlingTime } from './usable-head.js';

/** Finds what must not happen in a soak, from what engines and callers have seen. */

/** Most engines to which one request may be sent: `attempts` of the route. */
const maximumAttempts = 3;
const eventCount = 20;

const errorSchema = z.object({ error: z.object({ name: z.string() }) });

export interface SoakRecord {
  readonly engines: readonly TestEngine[];
  readonly lives: ProcessLives;
  readonly results: readonly CallerResult[];
}

export function findFaults(record: SoakRecord): readonly string[] {
  return [
    ...findRequestsInPauses(record),
    ...findRequestsToLeavingEngines(record),
    ...findTooManyAttempts(record),
    ...findWrongAnswers(record),
    ...findLostAnswers(record),
    ...findWrongRefusals(record),
  ];
}

/** Result codes that say that no upstream could take the request. */
const absenceNames: ReadonlySet<string> = new Set(['upstreamsPaused', 'noServingGroup']);

/** Counts how requests ended, by status and name of the result code. */
export function countOutcomes(results: readonly CallerResult[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const result of results) {
    const name = describeOutcome(result);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

export function describeOutcome({ status, body, isWhole }: CallerResult): string {
  if (!isWhole) {
    return `${status} broken`;
  }
  return status === 200 ? '200' : `${status} ${readErrorName(body)}`;
}

function readErrorName(body: string): string {
  const parsed = errorSchema.safeParse(JSON.parse(body));
  return parsed.success ? parsed.data.error.name : '';
}

/** Key of the life of the gateway to which the request was sent. */
function lifeOf(id: string): string {
  return id.split(idSeparator)[0] ?? '';
}

/** The requests that each start of an engine received from each life of a gateway, in order. */
function groupReceived(engines: readonly TestEngine[]): readonly (readonly ReceivedRequest[])[] {
  const groups = new Map<string, ReceivedRequest[]>();
  for (const request of engines.flatMap(({ received }) => received)) {
    const key = `${request.engine} ${lifeOf(request.id)}`;
    groups.set(key, [...(groups.get(key) ?? []), request]);
  }
  return [...groups.values()];
}

function findRequestsInPauses({ engines, lives }: SoakRecord): readonly string[] {
  return groupReceived(engines).flatMap((requests) => {
    const broken = listPauses(requests).filter(({ id, from, until, count }) => {
      return count > maximumInPause && !lives.wasFrozen(lifeOf(id), from, until);
    });
    return broken.map(({ id, from, until, count }) => {
      const length = Math.round(until - from);
      return `${count} requests from gateway ${lifeOf(id)} in the pause of ${length} ms that ${id} got`;
    });
  });
}

function findRequestsToLeavingEngines({ engines, lives }: SoakRecord): readonly string[] {
  return groupReceived(engines)
    .flatMap(listLate)
    .filter(({ request: { id, at }, toldAt }) => !lives.wasFrozen(lifeOf(id), toldAt, at))
    .map(({ request: { id, engine, at }, toldAt }) => {
      return `${engine} got ${id} ${Math.round(at - toldAt)} ms after it had said that it is leaving`;
    });
}

function findTooManyAttempts({ engines }: SoakRecord): readonly string[] {
  const counts = new Map<string, number>();
  for (const { id } of engines.flatMap(({ received }) => received)) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > maximumAttempts)
    .map(([id, count]) => `${id} was sent to ${count} engines`);
}

/** A complete answer has each event once and in order. */
function findWrongAnswers({ results }: SoakRecord): readonly string[] {
  const expected = Array.from({ length: eventCount }, (_, index) => `id: ${index + 1}`).join();
  return results
    .filter(({ status, isWhole }) => status === 200 && isWhole)
    .filter(({ body }) => (body.match(/^id: \d+$/gm) ?? []).join() !== expected)
    .map(({ id, body }) => `${id} got a wrong answer: ${body}`);
}

/** Requests that were in flight when their gateway was stopped as planned must get a complete answer. */
function findLostAnswers({ lives, results }: SoakRecord): readonly string[] {
  return results
    .filter(({ id, startedAt, endedAt, isWhole }) => {
      const { stoppedAt } = lives.find(lifeOf(id));
      const isInFlight = stoppedAt !== undefined && startedAt < stoppedAt && endedAt > stoppedAt;
      return isInFlight && !isWhole;
    })
    .map(({ id, status, body }) => `${id} lost its answer at a planned stop: ${status} ${body}`);
}

/** A gateway that has settled knows which heads serve. */
function findWrongRefusals({ lives, results }: SoakRecord): readonly string[] {
  return results
    .filter(({ startedAt, usableSince = Number.POSITIVE_INFINITY, isWhole, status, body }) => {
      const isRefused = isWhole && status === 503 && absenceNames.has(readErrorName(body));
      return isRefused && startedAt > usableSince;
    })
    .filter(({ id, startedAt, endedAt }) => {
      const { startedAt: born } = lives.find(lifeOf(id));
      const settled = startedAt - settlingTime;
      return born < settled && !lives.wasFrozen(lifeOf(id), settled, endedAt);
    })
    .map((result) => {
      const since = Math.round(result.startedAt - (result.usableSince ?? 0));
      return `${result.id} was refused as ${describeOutcome(result)} ${since} ms after a head had become usable`;
    });
}
