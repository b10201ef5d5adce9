import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import { AdmissionController } from '../../src/sidecar/attempts/admission-controller.js';

const limits = { maximumWait: 500, maximumWaitUnderShare: 5000, maximumQueued: 2000 };

interface Sender {
  readonly account: string;
  /** Interval between two attempts in milliseconds. */
  readonly interval: number;
  readonly weight: number;
  readonly priority: number;
}

/** Counts the attempts started per account while all accounts send for 120 s; service times vary by ±50 %. */
function countStarts(
  senders: readonly Sender[],
  capacity: number,
  serviceTime: number,
): ReadonlyMap<string, number> {
  const admission = new AdmissionController(limits);
  admission.setCapacity(capacity);
  const random = createRandomSource(7);
  const ends = new Map<string, number>();
  const starts = new Map<string, number>();
  const start = (key: string, now: number): void => {
    ends.set(key, now + serviceTime * (0.5 + random.fraction()));
    const account = key.split('/')[0] ?? '';
    starts.set(account, (starts.get(account) ?? 0) + 1);
  };
  for (let now = 0; now < 120_000; now += 1) {
    for (const [key, end] of ends) {
      if (end <= now) {
        ends.delete(key);
        admission.release(key, now, true);
      }
    }
    admission.expire(now);
    admission.startNext(now).forEach((key) => {
      start(key, now);
    });
    for (const { account, interval, weight, priority } of senders) {
      const key = `${account}/${now}`;
      const isDue = now % interval === 0;
      const request = { key, account, weight, priority, remaining: 60_000 };
      if (isDue && admission.request(request, now).type === 'start') {
        start(key, now);
      }
    }
  }
  return starts;
}

const sender = { weight: 1, priority: 5 };

describe('admission', () => {
  // Guards against starvation of a small account by one that floods the system: without fair queueing, the account that
  // sends the most gets every slot that is freed. The large account sends ten times its share, the small one half of
  // its share; responses are short or take ten seconds each.
  it.each([
    { name: 'short responses', capacity: 4, serviceTime: 40, interval: 20 },
    { name: 'long responses', capacity: 20, serviceTime: 10_000, interval: 1000 },
  ])(
    'serves nearly all attempts of a small account with $name',
    ({ capacity, serviceTime, interval }) => {
      const small = { ...sender, account: 'small', interval: 2 * interval };
      const starts = countStarts(
        [small, { ...sender, account: 'large', interval: interval / 10 }],
        capacity,
        serviceTime,
      );
      const share = (starts.get('small') ?? 0) / (120_000 / small.interval);
      expect(share).toBeGreaterThan(0.9);
    },
  );

  it('divides slots by weight between accounts that both exceed their share', () => {
    const starts = countStarts(
      [
        { ...sender, account: 'heavy', interval: 5, weight: 3 },
        { ...sender, account: 'light', interval: 5 },
      ],
      2,
      40,
    );
    const ratio = (starts.get('heavy') ?? 0) / (starts.get('light') ?? 1);
    expect(ratio).toBeGreaterThan(2.5);
    expect(ratio).toBeLessThan(3.5);
  });

  it('favours urgent attempts without starving the others', () => {
    const starts = countStarts(
      [
        { ...sender, account: 'urgent', interval: 5, priority: 0 },
        { ...sender, account: 'patient', interval: 5, priority: 9 },
      ],
      2,
      40,
    );
    const urgent = starts.get('urgent') ?? 0;
    const patient = starts.get('patient') ?? 0;
    expect(urgent).toBeGreaterThan(patient);
    expect(patient).toBeGreaterThan(urgent / 12);
  });

  it('refuses immediately, with a Retry-After from the measured drain rate', () => {
    const admission = new AdmissionController(limits);
    const request = (key: string, now: number) =>
      admission.request({ ...sender, key, account: 'one', remaining: 60_000 }, now);
    expect(request('a', 0)).toEqual({ type: 'start' });
    admission.release('a', 2000, true);
    expect(request('b', 2000)).toEqual({ type: 'start' });
    expect(request('c', 2000)).toEqual({ type: 'refused', retryAfter: 2000 });
  });
});
