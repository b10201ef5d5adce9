import type { Milliseconds } from '../../common/index.js';

/** Detects stalled targets from the progress of the streams sent to them; performs no I/O. */

/** Time between two checks of the streams. */
const checkInterval: Milliseconds = 100;
/** A longer gap between checks shows that this process itself was suspended; data that arrived meanwhile has not been read yet. */
const maximumCheckGap: Milliseconds = 300;
/** A working engine makes no pause this many times as long as the longest that the route wants of its streams. */
const pauseTolerance = 2;
/** Longest pause for routes that configure none. */
const defaultPause: Milliseconds = 300;

/** Result of one check. */
export interface ProgressReview {
  /** Targets that have stalled and sent no byte since, with a request in flight that shows whether they recover; they get no others. */
  readonly unrecovered: ReadonlySet<string>;
  /** The unrecovered targets whose requests should move elsewhere. */
  readonly stalled: ReadonlySet<string>;
}

interface TrackedTarget {
  readonly streams: Set<TrackedStream>;
  /** Whether it has stalled and sent no byte since. */
  isUnrecovered: boolean;
}

/** Progress of one stream while its attempt is in flight. */
export class TrackedStream {
  readonly sentAt: Milliseconds;
  /** Longest time without a byte before the stream counts as stalled. */
  readonly maximumSilence: Milliseconds;
  readonly #target: TrackedTarget;
  #lastByteAt: Milliseconds | undefined;
  /** Whether reading is paused after the first bytes. */
  #isPaused = false;

  constructor(
    target: TrackedTarget,
    sentAt: Milliseconds,
    longestPause: Milliseconds = defaultPause,
  ) {
    this.#target = target;
    this.sentAt = sentAt;
    this.maximumSilence = longestPause * pauseTolerance;
    target.streams.add(this);
  }

  /** Arrival of the last bytes, or end of a pause since; undefined before the first, and while the stream is paused. */
  get lastByteAt(): Milliseconds | undefined {
    return this.#lastByteAt;
  }

  noteBytes(now: Milliseconds): void {
    this.#lastByteAt = now;
    this.#isPaused = false;
    this.#target.isUnrecovered = false;
  }

  /** Records that reading is paused for a slow caller; silence then says nothing about the upstream. */
  pause(): void {
    this.#isPaused ||= this.#lastByteAt !== undefined;
    this.#lastByteAt = undefined;
  }

  /** Records that reading goes on; if no byte arrives from now on, the upstream is silent. */
  resume(now: Milliseconds): void {
    if (this.#isPaused) {
      this.#isPaused = false;
      this.#lastByteAt = now;
    }
  }

  end(): void {
    this.#target.streams.delete(this);
  }
}

/**
 * Tracks the streams of one gateway by target. If the host of a head is frozen, neither the head nor its sidecar reports anything: control
 * waits for a report, and requests wait there until their deadlines. A gateway with streams there detects the stall because all that have
 * started are silent. A target that has stalled is judged by the next request sent to it.
 */
export class StreamProgress {
  static readonly checkInterval = checkInterval;

  readonly #targets = new Map<string, TrackedTarget>();
  #checkedAt: Milliseconds | undefined;
  /** Time since when this process has read arriving data without a gap. */
  #observedSince: Milliseconds = 0;

  /** Tracks a request sent to the target; `longestPause` is the longest pause between events that its route wants. */
  track(target: string, now: Milliseconds, longestPause?: Milliseconds): TrackedStream {
    const tracked = this.#targets.get(target) ?? { streams: new Set(), isUnrecovered: false };
    this.#targets.set(target, tracked);
    return new TrackedStream(tracked, now, longestPause);
  }

  /** To be called once per `checkInterval`. */
  review(now: Milliseconds): ProgressReview {
    const before = this.#checkedAt;
    this.#checkedAt = now;
    if (before === undefined || now - before > maximumCheckGap) {
      this.#observedSince = now;
    }
    const stalled = new Set<string>();
    const unrecovered = new Set<string>();
    for (const [target, tracked] of this.#targets) {
      if (this.#isStalled(tracked, now)) {
        tracked.isUnrecovered = true;
        stalled.add(target);
      }
      if (tracked.isUnrecovered && tracked.streams.size > 0) {
        unrecovered.add(target);
      }
    }
    return { unrecovered, stalled };
  }

  /** Drops targets that no longer exist and have no streams. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, { streams }] of this.#targets) {
      if (streams.size === 0 && !keys.has(key)) {
        this.#targets.delete(key);
      }
    }
  }

  #isStalled(target: TrackedTarget, now: Milliseconds): boolean {
    const silentSince = findSilentSince(target);
    if (silentSince === undefined) {
      return false;
    }
    const limits = [...target.streams].map(({ maximumSilence }) => maximumSilence);
    return now - Math.max(silentSince, this.#observedSince) > Math.min(...limits);
  }
}

/** Returns the start of a silence in which data was expected; undefined if that cannot be told. */
function findSilentSince({ streams, isUnrecovered }: TrackedTarget): Milliseconds | undefined {
  const begun = [...streams].flatMap(({ lastByteAt }) => lastByteAt ?? []);
  if (begun.length > 0) {
    return Math.max(...begun);
  }
  return isUnrecovered && streams.size > 0
    ? Math.min(...[...streams].map(({ sentAt }) => sentAt))
    : undefined;
}
