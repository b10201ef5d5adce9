import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import type { Objective } from '../../src/model/index.js';
import {
  burnWindows,
  createBurnReport,
  formatBurnJson,
  formatBurnPage,
  formatBurnTable,
  isBurning,
  maximumTargets,
  parseGatewayAnswer,
  ServiceLevelRecorder,
  type GatewayAnswer,
  type ServiceLevelOutcome,
} from '../../src/report/index.js';

const minute = 60_000;
const day = 24 * 60 * minute;
const start = Date.UTC(2026, 0, 5);
const propertyRuns = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 100);
const outcomes: readonly ServiceLevelOutcome[] = ['whole', 'failed', 'notRun'];
const assistant: Objective = {
  target: 'assist-llm',
  availability: 0.99,
  firstToken: { share: 0.95, milliseconds: 700 },
};

interface RecordedRequest {
  readonly gateway: number;
  readonly outcome: ServiceLevelOutcome;
  readonly firstToken: number | undefined;
  readonly at: number;
}

describe('burn report', () => {
  it('counts the same in each window as a direct count of all requests', () => {
    fc.assert(
      fc.property(fc.array(createArbitraryRequest(), { maxLength: 200 }), (requests) => {
        const ordered = [...requests].sort((left, right) => left.at - right.at);
        const at = (ordered[ordered.length - 1]?.at ?? start) + 3 * minute;
        const report = createBurnReport({
          at,
          objectives: [assistant],
          gateways: recordAll(ordered, at),
        });
        for (const [position, window] of burnWindows.entries()) {
          const { bucketLength } = window.resolution;
          const newest = Math.floor(at / bucketLength) * bucketLength;
          const inside = ordered.filter(
            (request) =>
              Math.floor(request.at / bucketLength) * bucketLength > newest - window.length,
          );
          const expected = countDirectly(inside);
          const found = report.targets[0]?.indicators.map(({ windows }) => windows[position]);
          expect(found?.map((burn) => [burn?.good, burn?.bad])).toEqual(expected);
        }
      }),
      { seed: 7, numRuns: propertyRuns },
    );
  });

  it('shows a session as it did before: table, JSON and page', () => {
    const report = createBurnReport(createSession());
    expect(isBurning(report)).toBe(true);
    expectGolden('burn.txt', formatBurnTable(report));
    expectGolden('burn.json', formatBurnJson(report));
    expectGolden('burn.html', formatBurnPage(report));
    expect(formatBurnPage(report)).not.toMatch(/<script|src=|href=|url\(/);
  });

  it('does not count a gateway twice that answered at two addresses', () => {
    const [answer] = recordAll([request(0, 'failed', 100, start)], start);
    const gateways = answer === undefined ? [] : [answer, answer];
    const report = createBurnReport({ at: start, objectives: [assistant], gateways });
    expect(report.targets[0]?.outcomes).toEqual({ whole: 0, failed: 1, notRun: 0 });
  });

  it('treats counters it cannot read as no answer', () => {
    expect(parseGatewayAnswer('a', '{"since":1}').type).toBe('noAnswer');
    expect(parseGatewayAnswer('a', 'not JSON').type).toBe('noAnswer');
  });
});

describe('service-level recorder', () => {
  /*
   * Symptom: after the wall clock of a gateway was set back, the report showed a quiet hour as burning.
   * Sequence: requests at 12:05, clock set back to 11:50, requests at 11:50; an older bucket is opened after a newer one.
   * Cause: buckets are ordered by the wall clock, which may be set back.
   */
  it('counts into the newest bucket while the wall clock is behind it', () => {
    const recorder = new ServiceLevelRecorder(start);
    recorder.record('assist-llm', 'whole', 10, start + 10 * minute);
    recorder.record('assist-llm', 'whole', 10, start);
    const [target] = recorder.read(start).targets;
    expect(target?.minutes.map((bucket) => [bucket.start, bucket.whole])).toEqual([
      [start + 10 * minute, 2],
    ]);
  });

  it('keeps a bounded number of buckets and targets, and takes new targets once old ones are quiet', () => {
    const recorder = new ServiceLevelRecorder(start);
    for (let step = 0; step < 10_000; step += 1) {
      recorder.record('assist-llm', 'whole', 10, start + step * minute);
    }
    const end = start + 10_000 * minute;
    const [target] = recorder.read(end).targets;
    expect(target?.minutes.length).toBe(359);
    expect(target?.hours.length).toBe(72);
    for (let index = 0; index < maximumTargets + 2; index += 1) {
      recorder.record(`target-${index}`, 'whole', undefined, end);
    }
    expect(recorder.read(end).unrecorded).toBe(3);
    recorder.record('newcomer', 'whole', undefined, end + 4 * day);
    expect(recorder.read(end + 4 * day).targets.map((counters) => counters.target)).toEqual([
      'newcomer',
    ]);
  });
});

function createArbitraryRequest(): fc.Arbitrary<RecordedRequest> {
  return fc.record({
    gateway: fc.integer({ min: 0, max: 2 }),
    outcome: fc.constantFrom(...outcomes),
    // The histogram cell that contains the threshold of 700 ms extends to 703 ms.
    firstToken: fc.constantFrom(undefined, 0, 90.4, 650, 700, 720, 4000, 2_000_000),
    at: fc.oneof(
      fc.integer({ min: start, max: start + 5 * day }),
      fc.integer({ min: start + 5 * day - 400 * minute, max: start + 5 * day }),
    ),
  });
}

function recordAll(requests: readonly RecordedRequest[], at: number): readonly GatewayAnswer[] {
  const recorders = [0, 1, 2].map(() => new ServiceLevelRecorder(start));
  for (const { gateway, outcome, firstToken, at: time } of requests) {
    recorders[gateway]?.record('assist-llm', outcome, firstToken, time);
  }
  return recorders.map((recorder, index) =>
    parseGatewayAnswer(`gateway-${index}`, JSON.stringify(recorder.read(at))),
  );
}

function countDirectly(requests: readonly RecordedRequest[]): readonly (readonly number[])[] {
  const firstTokens = requests.flatMap(({ firstToken }) => firstToken ?? []);
  const fast = firstTokens.filter((milliseconds) => milliseconds <= 703).length;
  const whole = requests.filter(({ outcome }) => outcome === 'whole').length;
  return [
    [whole, requests.length - whole],
    [fast, firstTokens.length - fast],
  ];
}

function request(
  gateway: number,
  outcome: ServiceLevelOutcome,
  firstToken: number | undefined,
  at: number,
): RecordedRequest {
  return { gateway, outcome, firstToken, at };
}

/** Two days of a service that fails during the last half hour; one gateway does not answer. */
function createSession(): Parameters<typeof createBurnReport>[0] {
  const random = createRandomSource(11);
  const at = start + 2 * day;
  const requests: RecordedRequest[] = [];
  for (let time = start; time < at; time += minute) {
    const isBroken = time >= at - 30 * minute;
    const outcome = isBroken && random.integerBelow(3) > 0 ? 'notRun' : 'whole';
    const firstToken = outcome === 'whole' ? 100 + random.integerBelow(620) : undefined;
    requests.push(request(random.integerBelow(3), outcome, firstToken, time));
  }
  const [first, second] = recordAll(requests, at);
  const gateways: GatewayAnswer[] = [first, second].flatMap((answer) => answer ?? []);
  gateways.push({ type: 'noAnswer', gateway: 'gateway-2', reason: 'connection <refused>' });
  const registry = { target: 'registry-app', availability: 0.999, firstToken: undefined };
  return { at, objectives: [assistant, registry], gateways };
}

/** Compares with the golden file; PISTACHIOSPOKE_UPDATE_GOLDEN=1 rewrites it, for review with the change. */
function expectGolden(name: string, text: string): void {
  const path = join(import.meta.dirname, '..', 'golden', 'report', name);
  if (process.env.PISTACHIOSPOKE_UPDATE_GOLDEN === '1') {
    writeFileSync(path, text);
  }
  expect(text).toBe(readFileSync(path, 'utf8'));
}
