import { LRUCache } from 'lru-cache';

import type { Milliseconds } from '../common/index.js';

/**
 * Learns how long upstreams of one kind take from the arrival of a request to the first event of its response; performs no I/O.
 * The dependence on load and on tokens to read is learned for all upstreams of the kind together, because one of them alone answers too few
 * requests of a gateway. A factor for each start of an upstream, learned from its latest responses, tells how far it deviates now.
 */

/** Circumstances of a request when it is sent. */
export interface DispatchLoad {
  /** Requests at the upstream, including this one. */
  readonly requests: number;
  readonly slots: number;
  /** Tokens to read, of this request and of those of this gateway that the upstream has not begun to answer. */
  readonly tokens: number;
}

/** Time after which an observation counts half in the dependence on load and tokens. */
const shapeHalfLife: Milliseconds = 10_000;
/** How quickly the factor of a start follows its responses. */
export interface Responsiveness {
  /** Time after which a response counts half. */
  readonly halfLife: Milliseconds;
  /** Responses that the assumption of no deviation is worth, so that a slow one does not exclude an upstream. */
  readonly prior: number;
}

/** A burst fills a group within a second, and the time to the first event of a group varies little. */
export const groupResponsiveness: Responsiveness = { halfLife: 1000, prior: 1 };
/** The first event of a plain service is its whole response, whose duration varies by itself. */
export const instanceResponsiveness: Responsiveness = { halfLife: 4000, prior: 5 };
/** Sums below this number of observations tell nothing. */
const minimumObservations = 3;
/** Responses over which their duration is averaged. */
const durationWindow = 20;
const tokensPerUnit = 1000;
/** Stabilizes the fit if all observations were made under the same circumstances. */
const ridge = 0.05;
const sweeps = 12;
const maximumStarts = 10_000;
const minimumFactor = 0.1;
const maximumFactor = 20;

type Vector = readonly [constant: number, load: number, tokens: number];

/** Sums of observed and expected times of one start, in units of decayed observations. */
interface Deviation {
  observed: Milliseconds;
  expected: Milliseconds;
  weight: number;
  updatedAt: Milliseconds;
}

export class FirstEventTimes {
  readonly #responsiveness: Responsiveness;
  readonly #deviations = new LRUCache<string, Deviation>({ max: maximumStarts });
  readonly #products = [
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
  ];
  readonly #times = [0, 0, 0];
  #observations = 0;
  #updatedAt: Milliseconds = 0;
  #coefficients: Vector = [0, 0, 0];
  /** Mean time that a request occupies an upstream; undefined before the first one has ended. */
  #duration: Milliseconds | undefined;

  constructor(responsiveness: Responsiveness) {
    this.#responsiveness = responsiveness;
  }

  /** Records the time from sending a request to its first event. */
  noteFirstEvent(key: string, load: DispatchLoad, time: Milliseconds, now: Milliseconds): void {
    const reading = Math.max(0, time - this.#queueing(load));
    this.#noteDeviation(key, load, reading, now);
    this.#noteShape(describe(load), reading, now);
  }

  /** Records the time from sending a request to the end of its response. */
  noteDuration(duration: Milliseconds): void {
    const before = this.#duration ?? duration;
    this.#duration = before + (duration - before) / durationWindow;
  }

  /** Expected time from sending to the first event; undefined if too little has been learned. */
  expect(key: string, load: DispatchLoad, now: Milliseconds): Milliseconds | undefined {
    if (this.#observations < minimumObservations) {
      return undefined;
    }
    return this.#estimate(describe(load)) * this.readFactor(key, now) + this.#queueing(load);
  }

  /**
   * Largest number of requests at the upstream with which the expected time of one that has `tokens` to read is within `budget`; a fraction,
   * and 0 if there is none. Undefined if too little has been learned.
   */
  findBound(
    key: string,
    { slots, tokens }: Omit<DispatchLoad, 'requests'>,
    budget: Milliseconds,
    now: Milliseconds,
  ): number | undefined {
    if (this.#observations < minimumObservations) {
      return undefined;
    }
    const factor = this.readFactor(key, now);
    const empty = factor * this.#estimate(describe({ requests: 0, slots, tokens }));
    const full = factor * this.#estimate(describe({ requests: slots, slots, tokens }));
    if (full <= budget) {
      return this.#duration === undefined
        ? slots
        : slots + ((budget - full) * slots) / this.#duration;
    }
    return empty > budget ? 0 : (slots * (budget - empty)) / (full - empty);
  }

  /** How much longer than expected the start has taken lately; 1 if it does not deviate or nothing is known. */
  readFactor(key: string, now: Milliseconds): number {
    const deviation = this.#deviations.get(key);
    if (deviation === undefined || deviation.weight === 0) {
      return 1;
    }
    const { observed, expected, weight, updatedAt } = deviation;
    const left = decay(now - updatedAt, this.#responsiveness.halfLife);
    const prior = (this.#responsiveness.prior * expected) / weight;
    const factor = (observed * left + prior) / (expected * left + prior);
    return Math.min(maximumFactor, Math.max(minimumFactor, factor));
  }

  /** Time until a slot becomes free for a request beyond the slots. */
  #queueing({ requests, slots }: DispatchLoad): Milliseconds {
    return (Math.max(0, requests - slots) * (this.#duration ?? 0)) / slots;
  }

  #estimate(circumstances: Vector): Milliseconds {
    const terms = circumstances.map((value, index) => value * (this.#coefficients[index] ?? 0));
    return terms.reduce((sum, term) => sum + term, 0);
  }

  #noteDeviation(key: string, load: DispatchLoad, time: Milliseconds, now: Milliseconds): void {
    const expected = this.#estimate(describe(load));
    if (expected <= 0) {
      return;
    }
    const before = this.#deviations.get(key) ?? {
      observed: 0,
      expected: 0,
      weight: 0,
      updatedAt: now,
    };
    const left = decay(now - before.updatedAt, this.#responsiveness.halfLife);
    this.#deviations.set(key, {
      observed: before.observed * left + time,
      expected: before.expected * left + expected,
      weight: before.weight * left + 1,
      updatedAt: now,
    });
  }

  #noteShape(circumstances: Vector, time: Milliseconds, now: Milliseconds): void {
    const left = decay(now - this.#updatedAt, shapeHalfLife);
    this.#updatedAt = now;
    this.#observations = this.#observations * left + 1;
    circumstances.forEach((value, row) => {
      const products = this.#products[row] ?? [];
      circumstances.forEach((other, column) => {
        products[column] = (products[column] ?? 0) * left + value * other;
      });
      this.#times[row] = (this.#times[row] ?? 0) * left + value * time;
    });
    this.#coefficients = this.#fit();
  }

  /** Least squares without negative coefficients, by coordinate descent. */
  #fit(): Vector {
    const fitted: [number, number, number] = [...this.#coefficients];
    for (let sweep = 0; sweep < sweeps; sweep += 1) {
      fitted.forEach((_, row) => {
        const products = this.#products[row] ?? [];
        const others = fitted.reduce((sum, coefficient, column) => {
          return column === row ? sum : sum + (products[column] ?? 0) * coefficient;
        }, 0);
        const own = (products[row] ?? 0) + ridge;
        fitted[row] = Math.max(0, ((this.#times[row] ?? 0) - others) / own);
      });
    }
    return fitted;
  }
}

function describe({ requests, slots, tokens }: DispatchLoad): Vector {
  return [1, Math.min(1, requests / slots), tokens / tokensPerUnit];
}

/** Share that is left of the weight of an observation of this age. */
function decay(age: Milliseconds, halfLife: Milliseconds): number {
  return 0.5 ** (Math.max(0, age) / halfLife);
}
