import { describe, expect, it } from 'vitest';

import { formatAttemptName, type AttemptOrder } from '../../src/model/index.js';
import {
  AttemptController,
  createRequestId,
  defaultAttemptLimits,
  type AttemptEffect,
} from '../../src/sidecar/attempts/index.js';
import { ResumeBuffer } from '../../src/sidecar/attempts/resume-buffer.js';

const incarnation = 'incarnation-1';

function order(at: number, changes: Partial<AttemptOrder> = {}): AttemptOrder {
  return {
    name: { requestId: createRequestId(at, 'unique'), attempt: 1, incarnation },
    group: 'assist/1',
    fencingNumber: 7,
    configurationRevision: 3,
    remaining: 10_000,
    account: 'desk',
    accountWeight: 1,
    priority: 5,
    isNonIdempotent: true,
    ...changes,
  };
}

/** Sends an order and returns the type or refusal code of the first effect. */
function arrive(
  attempts: AttemptController,
  sent: AttemptOrder,
  now: number,
  changes: { isWhole?: boolean; isDraining?: boolean; concurrency?: number } = {},
): string {
  const group = { fencingNumber: 7, isWhole: true, isDraining: false, concurrency: 1, ...changes };
  const effects = attempts.handle({
    type: 'arrived',
    now,
    wallNow: now,
    subscriber: now,
    order: sent,
    group,
    revision: 3,
  });
  return describeFirst(effects);
}

function describeFirst(effects: readonly AttemptEffect[]): string {
  const [first] = effects;
  if (first?.type !== 'send') {
    return first?.type ?? 'nothing';
  }
  return first.message.type === 'refused' ? first.message.refusal.code : first.message.type;
}

describe('an arriving attempt', () => {
  it.each([
    ['confirm', {}, {}],
    ['staleIncarnation', { name: { requestId: '1-a', attempt: 1, incarnation: 'old' } }, {}],
    ['staleFencingNumber', { fencingNumber: 6 }, {}],
    ['staleConfiguration', { configurationRevision: 2 }, {}],
    ['deadlineBeforeStart', { remaining: 0 }, {}],
    ['notWhole', {}, { isWhole: false }],
    ['draining', {}, { isDraining: true }],
    ['attemptTooOld', { name: { requestId: '???', attempt: 1, incarnation } }, {}],
  ] as const)('gets %s', (expected, changes, group) => {
    expect(arrive(new AttemptController(incarnation), order(100, changes), 100, group)).toBe(
      expected,
    );
  });

  // Guards against running a request twice: the message is duplicated and its first copy refused, so the gateway
  // retries elsewhere. The second copy arrives when all leases are held again. It would run if the refusal left no
  // tombstone.
  it('stays refused when its second copy could run', () => {
    const attempts = new AttemptController(incarnation);
    expect(arrive(attempts, order(100), 100, { isWhole: false })).toBe('notWhole');
    expect(arrive(attempts, order(100), 101)).toBe('tombstoned');
  });

  // Guards against running a request that was reported as "never seen" an hour ago: the query leaves a tombstone, which
  // is evicted by age or by the memory limit, and then the delayed message arrives. Memory is limited, and a message on
  // a silent connection can arrive after an arbitrary delay.
  it.each([
    { name: 'by age', later: 3_600_000, others: 0 },
    { name: 'by the memory limit', later: 10, others: 5 },
  ])('is refused after its tombstone was evicted $name', ({ later, others }) => {
    const registry = { ...defaultAttemptLimits.registry, maximumRetained: 3 };
    const attempts = new AttemptController(incarnation, { ...defaultAttemptLimits, registry });
    const late = order(100);
    attempts.handle({ type: 'asked', now: 100, question: 1, name: late.name });
    for (let index = 0; index < others; index += 1) {
      const name = order(101 + index).name;
      attempts.handle({ type: 'asked', now: 101 + index, question: 2, name });
    }
    attempts.handle({ type: 'tick', now: 100 + later });
    expect(arrive(attempts, late, 100 + later)).toBe('attemptTooOld');
    expect(arrive(attempts, order(100 + later + 1), 100 + later)).toBe('confirm');
  });

  // Guards against an engine working for a client that has already left: the cancellation arrives before the attempt,
  // and would be lost if cancellations of unknown attempts were ignored.
  it('does not run after its cancellation', () => {
    const attempts = new AttemptController(incarnation);
    attempts.handle({ type: 'cancelled', now: 99, name: order(100).name });
    expect(arrive(attempts, order(100), 100)).toBe('tombstoned');
  });

  it('is ended, and its upstream request cancelled, after some time without a subscriber', () => {
    const attempts = new AttemptController(incarnation);
    arrive(attempts, order(100), 100);
    const { key } = { key: `${order(100).name.requestId}/1` };
    attempts.handle({ type: 'confirmed', now: 101, key, code: 'ok' });
    attempts.handle({ type: 'subscriberGone', now: 102, subscriber: 100 });
    expect(attempts.handle({ type: 'tick', now: 5000 })).toEqual([]);
    const effects = attempts.handle({ type: 'tick', now: 10_102 });
    expect(effects).toContainEqual({ type: 'cancelUpstream', key });
    expect(attempts.unfinishedCount).toBe(0);
  });
});

describe('attempts at an upstream that rejects a request and asks for a pause', () => {
  const pause = 2000;

  /** Starts an attempt that arrived at the given time, and returns the effects of its rejection by the upstream. */
  function rejectByUpstream(attempts: AttemptController, arrivedAt: number, now: number) {
    const key = formatAttemptName(order(arrivedAt).name);
    attempts.handle({ type: 'confirmed', now, key, code: 'ok' });
    const headers = [{ name: 'retry-after', value: String(pause / 1000) }];
    return attempts.handle({ type: 'upstreamHead', now, key, status: 503, headers });
  }

  function listRefusals(effects: readonly AttemptEffect[]): readonly string[] {
    return effects.flatMap((effect) => {
      const isRefusal = effect.type === 'send' && effect.message.type === 'refused';
      return isRefusal ? describeFirst([effect]) : [];
    });
  }

  // Guards against handing an upstream requests in the pause it asked for.
  it('are refused until the pause is over', () => {
    const attempts = new AttemptController(incarnation);
    arrive(attempts, order(100), 100, { concurrency: 4 });
    rejectByUpstream(attempts, 100, 110);
    expect(arrive(attempts, order(200), 200, { concurrency: 4 })).toBe('upstreamsPaused');
    const [end, next] = [110 + pause, 111 + pause];
    expect(arrive(attempts, order(end), end, { concurrency: 4 })).toBe('confirm');
    expect(arrive(attempts, order(next), next, { concurrency: 4 })).toBe('confirm');
  });

  // Guards against attempts that wait in the queue for a pause that outlasts their wait, and against starting them in the pause.
  it('are refused at once if they are queued and can not wait that long', () => {
    const attempts = new AttemptController(incarnation);
    arrive(attempts, order(100), 100);
    const urgent = order(101, { account: 'other', remaining: pause / 2 });
    expect(arrive(attempts, urgent, 101)).toBe('keepAlive');
    const patient = order(102, { account: 'third', remaining: 2 * pause });
    expect(arrive(attempts, patient, 102)).toBe('keepAlive');
    const effects = rejectByUpstream(attempts, 100, 110);
    expect(listRefusals(effects)).toEqual(['upstreamsPaused']);
    const key = formatAttemptName(order(100).name);
    const ended = attempts.handle({ type: 'upstreamEnded', now: 111, key, code: 'ok' });
    expect(ended.filter(({ type }) => type === 'confirm')).toEqual([]);
    const afterwards = attempts.handle({ type: 'tick', now: 110 + pause });
    expect(afterwards.filter(({ type }) => type === 'confirm')).toHaveLength(1);
  });

  // Guards against an attempt that reaches the upstream in the pause because its leases were being confirmed when the pause began.
  it('are refused if the pause begins while they are being confirmed', () => {
    const attempts = new AttemptController(incarnation);
    arrive(attempts, order(100), 100, { concurrency: 4 });
    arrive(attempts, order(101), 101, { concurrency: 4 });
    rejectByUpstream(attempts, 100, 110);
    const key = formatAttemptName(order(101).name);
    const effects = attempts.handle({ type: 'confirmed', now: 120, key, code: 'ok' });
    expect(listRefusals(effects)).toEqual(['upstreamsPaused']);
    expect(effects.filter(({ type }) => type === 'startUpstream')).toEqual([]);
  });
});

describe('a resume buffer', () => {
  it('keeps the last bytes and reports their first offset', () => {
    const buffer = new ResumeBuffer(5);
    ['abc', 'de', 'fg'].forEach((text) => buffer.append(Buffer.from(text)));
    expect([buffer.firstOffset, buffer.nextOffset]).toEqual([3, 7]);
    expect(buffer.readFrom(2)).toBeUndefined();
    expect(Buffer.concat(buffer.readFrom(4) ?? []).toString()).toBe('efg');
    expect(buffer.readFrom(7)).toEqual([]);
    expect(buffer.readFrom(8)).toBeUndefined();
  });

  // Guards against an upstream that sends its bytes one by one, each of which needs a hundred times its memory.
  it('keeps bytes that come one by one in a few blocks', () => {
    const maximumBytes = 64 * 1024;
    const buffer = new ResumeBuffer(maximumBytes);
    for (let index = 0; index < 2 * maximumBytes; index += 1) {
      buffer.append(Buffer.of(index % 256));
    }
    const kept = buffer.readFrom(buffer.firstOffset) ?? [];
    expect(kept.length).toBeLessThan(128);
    expect(buffer.size).toBeLessThanOrEqual(maximumBytes);
    expect(buffer.size).toBeGreaterThan(0.9 * maximumBytes);
    expect(Buffer.concat(kept).every((byte, at) => byte === (buffer.firstOffset + at) % 256)).toBe(
      true,
    );
  });
});
