import type { Milliseconds } from '../common/index.js';

/** Learns how long upstreams take from receiving a request to the first byte of its response. */

/** Assumed until something is measured: an upstream with a free slot. */
const assumedTime: Milliseconds = 40;
/** Weight of the newest measurement in the moving averages. */
const smoothing = 0.1;
/** Most requests start within the mean plus this many mean deviations. */
const deviations = 2;

interface Average {
  readonly mean: Milliseconds;
  readonly deviation: Milliseconds;
}

export class StartTimes {
  readonly #averages = new Map<string, Average>();

  /** `kind`: requests of the same kind are expected to start in about the same time. */
  note(kind: string, time: Milliseconds): void {
    const known = this.#averages.get(kind);
    if (known === undefined) {
      this.#averages.set(kind, { mean: time, deviation: time / 2 });
      return;
    }
    const difference = time - known.mean;
    this.#averages.set(kind, {
      mean: known.mean + smoothing * difference,
      deviation: known.deviation + smoothing * (Math.abs(difference) - known.deviation),
    });
  }

  /** Time within which most requests start. */
  read(kind: string): Milliseconds {
    const known = this.#averages.get(kind);
    return known === undefined ? assumedTime : known.mean + deviations * known.deviation;
  }
}
