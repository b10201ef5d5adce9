/** Streams of requests for a world on virtual time, and what came of them. */
import { build, type Histogram } from 'hdr-histogram-js';

import { createRandomSource, resultCodes, type Milliseconds } from '../../src/common/index.js';
import type { CallerRecord } from './fake-gateway.js';
import type { FakeWork } from './fake-sidecar.js';
import { NaiveAttempts, NaiveRequest } from './naive.js';
import { World, worldAccounts, type WorldOptions } from './world.js';

/** Our decisions, or those of the naive version. */
export type Version = 'pistachiospoke' | 'naive';

export const versions: readonly Version[] = ['naive', 'pistachiospoke'];

/** A streamed answer of 20 tokens, one every 42 ms. */
export const tokenWork: FakeWork = {
  contentType: 'text/event-stream',
  firstChunkAfter: 100,
  chunkInterval: 42,
  chunks: 20,
};
/** How long one holds its slot. */
export const workDuration: Milliseconds =
  tokenWork.firstChunkAfter + tokenWork.chunkInterval * (tokenWork.chunks - 2);

/** How long a caller waits for its whole answer. */
export const patience: Milliseconds = 10_000;
/** The tick of the shells. */
const tickInterval: Milliseconds = 50;

/** One account's steady stream of requests. */
export interface Demand {
  readonly account: string;
  readonly requestsPerSecond: number;
}

/** What callers got. */
export interface Outcome {
  readonly requests: number;
  readonly whole: number;
  /** Told "not run". */
  readonly shed: number;
  /** Told "unknown", or an error after the answer began. */
  readonly unknown: number;
  readonly attempts: number;
  readonly mostAttempts: number;
  /** From arrival to the first bytes, of all that got bytes; in milliseconds. */
  readonly firstToken: Histogram;
}

/** A world whose decisions are those of a version. */
export function createWorld(version: Version, options: WorldOptions): World {
  return version === 'pistachiospoke'
    ? new World(options)
    : new World({
        ...options,
        createRequest: (facts, surroundings) => new NaiveRequest(facts, surroundings),
        createAttempts: () => new NaiveAttempts(),
      });
}

/** Lets each account send at random moments, through random gateways, until a time. */
export function startDemand(
  world: World,
  demands: readonly Demand[],
  until: Milliseconds,
  seed: number,
): void {
  const random = createRandomSource(seed);
  for (const { account, requestsPerSecond } of demands) {
    const sendNext = (): void => {
      const pause = (-Math.log(1 - random.fraction()) * 1000) / requestsPerSecond;
      world.loop.after(pause, () => {
        if (world.loop.now < until) {
          world.submit({
            gateway: random.integerBelow(world.gateways.length),
            account,
            isNonIdempotent: false,
            key: undefined,
            timeout: patience,
            work: tokenWork,
            affinityKey: `prefix-${random.integerBelow(200)}`,
          });
          sendNext();
        }
      });
    };
    sendNext();
  }
}

/** Runs until every request that came before `until` has its final answer. */
export function runToRest(world: World, until: Milliseconds): void {
  world.run(until + patience + 1000, tickInterval);
}

/** What became of the requests that arrived in an interval. */
export function summarize(
  records: readonly CallerRecord[],
  from: Milliseconds,
  until: Milliseconds,
): Outcome {
  const chosen = records.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < until);
  const firstToken = build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
  for (const { firstBytesAt, arrivedAt } of chosen) {
    if (firstBytesAt !== undefined) {
      firstToken.recordValue(Math.max(1, Math.round(firstBytesAt - arrivedAt)));
    }
  }
  const whole = chosen.filter(isWhole).length;
  const shed = chosen.filter(isShed).length;
  const attempts = chosen.map((record) => record.attempts);
  return {
    requests: chosen.length,
    whole,
    shed,
    unknown: chosen.length - whole - shed,
    attempts: attempts.reduce((sum, count) => sum + count, 0),
    mostAttempts: Math.max(0, ...attempts),
    firstToken,
  };
}

/** Judged by the bytes, not by what the gateway says: every token and the mark of the end, once. */
function isWhole({ text, code }: CallerRecord): boolean {
  return code === 'ok' && text.split('data: ').length - 1 === tokenWork.chunks;
}

function isShed({ code }: CallerRecord): boolean {
  return code !== undefined && resultCodes[code].outcome === 'notRun';
}

/** The accounts of a world: the first sends ten times what each other does. */
export function listUnequalDemands(requestsPerSecond: number): readonly Demand[] {
  const parts = worldAccounts.map((account, index) => ({ account, part: index === 0 ? 10 : 1 }));
  const sum = parts.reduce((total, { part }) => total + part, 0);
  return parts.map(({ account, part }) => ({
    account,
    requestsPerSecond: (requestsPerSecond * part) / sum,
  }));
}
