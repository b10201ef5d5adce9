import fc from 'fast-check';

import type { CallerRecord, CreateRequest } from '../../bench/requests/fake-gateway.js';
import { formatWholeAnswer, type CreateAttempts } from '../../bench/requests/fake-sidecar.js';
import { World } from '../../bench/requests/world.js';
import { resultCodes } from '../../src/common/index.js';

interface HistoryRequest {
  readonly at: number;
  readonly gateway: number;
  readonly isNonIdempotent: boolean;
  readonly key: number | undefined;
  readonly isStream: boolean;
  readonly chunks: number;
  readonly interval: number;
  readonly timeout: number;
}

const faultTypes = [
  'silence',
  'freeze',
  'restart',
  'breakEngine',
  'breakGroup',
  'killGateway',
  'down',
] as const;

/** A fault that is injected for a limited time. */
interface HistoryFault {
  readonly at: number;
  readonly type: (typeof faultTypes)[number];
  readonly target: number;
  readonly duration: number;
}

/** The requests and faults of one simulated run. */
export interface History {
  readonly seed: number;
  readonly loss: number;
  readonly duplicate: number;
  readonly late: number;
  readonly uncertainClaims: number;
  /** Attempts that one engine accepts at the same time. */
  readonly concurrency: number;
  readonly requests: readonly HistoryRequest[];
  readonly faults: readonly HistoryFault[];
}

export type Invariant =
  'oneFinalAnswer' | 'ownAnswer' | 'wholeAnswer' | 'trueNotRun' | 'atMostOnce';

/** A violated invariant. */
export interface Violation {
  readonly invariant: Invariant;
  readonly detail: string;
}

const probability = (maximum: number): fc.Arbitrary<number> =>
  fc.oneof(
    fc.constant(0),
    fc.integer({ min: 0, max: maximum * 100 }).map((part) => part / 100),
  );

const request: fc.Arbitrary<HistoryRequest> = fc.record({
  at: fc.integer({ min: 0, max: 1500 }),
  gateway: fc.integer({ min: 0, max: 1 }),
  isNonIdempotent: fc.boolean(),
  key: fc.option(fc.integer({ min: 0, max: 1 }), { nil: undefined }),
  isStream: fc.boolean(),
  chunks: fc.integer({ min: 1, max: 5 }),
  interval: fc.integer({ min: 1, max: 600 }),
  timeout: fc.integer({ min: 200, max: 9000 }),
});

const fault: fc.Arbitrary<HistoryFault> = fc.record({
  at: fc.integer({ min: 0, max: 3000 }),
  type: fc.constantFrom(...faultTypes),
  target: fc.integer({ min: 0, max: 2 }),
  duration: fc.integer({ min: 50, max: 5000 }),
});

/** Requests with delayed, lost, duplicated and reordered messages, silences, freezes, restarts and failures. */
export const history: fc.Arbitrary<History> = fc.record({
  seed: fc.integer(),
  loss: probability(0.1),
  duplicate: probability(0.3),
  late: probability(0.3),
  uncertainClaims: probability(0.3),
  concurrency: fc.integer({ min: 1, max: 2 }),
  requests: fc.array(request, { minLength: 1, maxLength: 12 }),
  faults: fc.array(fault, { maxLength: 5 }),
});

const tickInterval = 100;
/** By this time every request is answered and every delayed message has arrived. */
const end = 36_000;

/** Result of a run that has come to rest, with the records of callers whose gateway was not killed. */
export interface PlayedHistory {
  readonly world: World;
  readonly records: readonly CallerRecord[];
}

/** Runs a history and returns the violated invariants. */
export function runHistory(
  past: History,
  createRequest?: CreateRequest,
  createAttempts?: CreateAttempts,
): readonly Violation[] {
  const { world, records } = playHistory(past, createRequest, createAttempts);
  return [...records.flatMap((record) => checkRecord(world, record)), ...checkAtMostOnce(world)];
}

export function playHistory(
  past: History,
  createRequest?: CreateRequest,
  createAttempts?: CreateAttempts,
): PlayedHistory {
  const dead = new Set<number>();
  const faults = { loss: past.loss, duplicate: past.duplicate, late: past.late, lateBy: 3000 };
  const world = new World({
    seed: past.seed,
    gateways: 2,
    sidecars: 3,
    concurrency: past.concurrency,
    faults,
    uncertainClaims: past.uncertainClaims,
    ...(createRequest === undefined ? {} : { createRequest }),
    ...(createAttempts === undefined ? {} : { createAttempts }),
  });
  const gatewayOf = new Map<CallerRecord, number>();
  for (const planned of past.requests) {
    world.loop.after(planned.at, () => {
      if (!dead.has(planned.gateway)) {
        const record = submit(world, planned);
        if (record !== undefined) {
          gatewayOf.set(record, planned.gateway);
        }
      }
    });
  }
  for (const planned of past.faults) {
    world.loop.after(planned.at, () => {
      injectFault(world, planned, dead);
    });
  }
  world.run(10_500, tickInterval);
  world.run(end, 2000);
  const records = world.records.filter((record) => !dead.has(gatewayOf.get(record) ?? 0));
  return { world, records };
}

function submit(world: World, planned: HistoryRequest): CallerRecord | undefined {
  const isKeyed = planned.isNonIdempotent && planned.key !== undefined;
  return world.submit({
    gateway: planned.gateway,
    account: 'small',
    isNonIdempotent: planned.isNonIdempotent,
    key: isKeyed ? `key-${planned.key}` : undefined,
    timeout: planned.timeout,
    work: {
      contentType: planned.isStream ? 'text/event-stream' : 'application/json',
      firstChunkAfter: planned.interval,
      chunkInterval: planned.interval,
      chunks: planned.chunks,
    },
    affinityKey: `prefix-${planned.chunks}`,
  });
}

function injectFault(world: World, planned: HistoryFault, dead: Set<number>): void {
  const sidecar = world.sidecars[planned.target];
  const gateway = planned.target % 2;
  switch (planned.type) {
    case 'silence':
      world.gateways[gateway]?.silenceConnections();
      return;
    case 'freeze':
      sidecar?.freeze();
      world.loop.after(planned.duration, () => sidecar?.thaw());
      return;
    case 'restart':
      world.restartSidecar(planned.target);
      return;
    case 'breakEngine':
      if (sidecar !== undefined) {
        sidecar.isEngineBroken = true;
        world.loop.after(planned.duration, () => (sidecar.isEngineBroken = false));
      }
      return;
    case 'breakGroup':
      if (sidecar !== undefined) {
        sidecar.isWhole = false;
        world.loop.after(planned.duration, () => (sidecar.isWhole = true));
      }
      return;
    case 'down':
      world.restartSidecar(planned.target);
      if (sidecar !== undefined) {
        sidecar.isDead = true;
        world.loop.after(planned.duration, () => (sidecar.isDead = false));
      }
      return;
    case 'killGateway':
      dead.add(gateway);
      world.gateways[gateway]?.kill();
      return;
  }
}

function checkRecord(world: World, record: CallerRecord): readonly Violation[] {
  const { id } = record.facts;
  if (record.finals !== 1 || record.code === undefined) {
    return [{ invariant: 'oneFinalAnswer', detail: `${id} got ${record.finals} final answers` }];
  }
  return [...checkAnswer(world, record), ...checkNotRun(world, record)];
}

function checkAnswer(world: World, record: CallerRecord): readonly Violation[] {
  const { id } = record.facts;
  const work = world.readWork(id);
  const answers = world.starts
    .filter(({ name }) => name.requestId === id)
    .map(({ name }) => formatWholeAnswer(name, work));
  if (!answers.some((answer) => answer.startsWith(record.text)) && record.text !== '') {
    return [{ invariant: 'ownAnswer', detail: `${id} got ${record.text}` }];
  }
  const isWhole = record.code === 'ok';
  const isCut = isWhole && !answers.includes(record.text);
  const isFalseEnd = !isWhole && record.text.includes('[DONE]');
  return isCut || isFalseEnd
    ? [{ invariant: 'wholeAnswer', detail: `${id} got ${record.text} as ${record.code ?? ''}` }]
    : [];
}

function checkNotRun(world: World, record: CallerRecord): readonly Violation[] {
  const { id } = record.facts;
  const isToldNotRun = resultCodes[record.code ?? 'ok'].outcome === 'notRun';
  return isToldNotRun && world.starts.some(({ name }) => name.requestId === id)
    ? [{ invariant: 'trueNotRun', detail: `${id} was told ${record.code ?? ''} and ran` }]
    : [];
}

/** Non-idempotent requests start at most once, and at most once per key. */
function checkAtMostOnce(world: World): readonly Violation[] {
  const counts = new Map<string, number>();
  for (const { name } of world.starts) {
    const facts = world.records.find((record) => record.facts.id === name.requestId)?.facts;
    if (facts?.isNonIdempotent === true) {
      const owner = facts.claim?.key ?? facts.id;
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([owner, count]) => ({
      invariant: 'atMostOnce' as const,
      detail: `${owner} started ${count} times`,
    }));
}
