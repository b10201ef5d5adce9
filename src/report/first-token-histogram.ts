import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  JsHistogram,
} from 'hdr-histogram-js';

import type { Milliseconds } from '../common/index.js';

/**
 * Histograms of the time to the first token: two significant digits (one part in 128) up to ten minutes,
 * about 8 KB in memory and some hundred bytes in their compressed encoding.
 */

const highestMilliseconds = 600_000;
const significantDigits = 2;

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly p50: Milliseconds;
  readonly p95: Milliseconds;
  readonly p99: Milliseconds;
}

/** A histogram of fixed memory size, whatever the number of values. */
export class FirstTokenHistogram {
  readonly #histogram = createHistogram();

  record(milliseconds: Milliseconds): void {
    // The library throws on a value beyond its range, and recording a slow answer must not make the request fail.
    const clamped = Math.min(Math.max(Math.round(milliseconds), 0), highestMilliseconds);
    this.#histogram.recordValue(clamped);
  }

  /** Adds all values of an encoded histogram; returns false if it cannot be decoded. */
  addEncoded(text: string): boolean {
    const other = decode(text);
    if (other === undefined) {
      return false;
    }
    this.#histogram.add(other);
    return true;
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  /** Counts the values up to and including the limit, to the precision of the histogram. */
  countUpTo(limit: Milliseconds): number {
    const last = this.#histogram.countsArrayIndex(Math.min(Math.round(limit), highestMilliseconds));
    let count = 0;
    for (let index = 0; index <= last; index += 1) {
      count += this.#histogram.getCountAtIndex(index);
    }
    return count;
  }

  /** Returns undefined if the histogram is empty. */
  readPercentiles(): Percentiles | undefined {
    if (this.count === 0) {
      return undefined;
    }
    return {
      p50: this.#histogram.getValueAtPercentile(50),
      p95: this.#histogram.getValueAtPercentile(95),
      p99: this.#histogram.getValueAtPercentile(99),
    };
  }

  /** Returns the compressed encoding, or null if the histogram is empty. */
  encode(): string | null {
    return this.count === 0 ? null : encodeIntoCompressedBase64(this.#histogram);
  }

  reset(): void {
    this.#histogram.reset();
  }
}

function createHistogram(): JsHistogram {
  const histogram = build({
    bitBucketSize: 32,
    autoResize: false,
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMilliseconds,
    numberOfSignificantValueDigits: significantDigits,
    useWebAssembly: false,
  });
  return requireJsHistogram(histogram);
}

function decode(text: string): JsHistogram | undefined {
  try {
    return requireJsHistogram(decodeFromCompressedBase64(text, 32, false));
  } catch {
    return undefined;
  }
}

/** Without WebAssembly the library always returns this class, the only one that exposes the counts. */
function requireJsHistogram(histogram: unknown): JsHistogram {
  if (histogram instanceof JsHistogram) {
    return histogram;
  }
  throw new Error('the histogram library did not return a JsHistogram');
}
