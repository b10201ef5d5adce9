import type { Milliseconds } from '../../common/index.js';

/** Tells which targets stand still, by the streams that were sent there; free of I/O. */

/** Between two looks at the streams. */
const checkInterval: Milliseconds = 100;
/** A look later than this shows that the process itself did not run: what came meanwhile is not read yet. */
const longestBetweenChecks: Milliseconds = 300;
/** A pause this many times as long as the longest that a route wants of its streams is none that a working engine makes. */
const tolerance = 2;
/** The longest pause that is wanted where a route does not say. */
const assumedPause: Milliseconds = 300;

/** What a look at the streams shows. */
export interface ProgressReview {
  /** Targets that stood still, sent no byte since, and have a request that will show whether they work again: nothing else goes there. */
  readonly doubted: ReadonlySet<string>;
  /** Those of them whose requests should go on elsewhere. */
  readonly stalled: ReadonlySet<string>;
}

interface FollowedTarget {
  readonly streams: Set<FollowedStream>;
  /** Whether it stood still and sent no byte since. */
  isDoubted: boolean;
}

/** One stream for as long as its attempt is under way. */
export class FollowedStream {
  readonly sentAt: Milliseconds;
  /** Without a byte for longer than this it stands still. */
  readonly longestSilence: Milliseconds;
  readonly #target: FollowedTarget;
  #lastByteAt: Milliseconds | undefined;

  constructor(
    target: FollowedTarget,
    sentAt: Milliseconds,
    longestPause: Milliseconds = assumedPause,
  ) {
    this.#target = target;
    this.sentAt = sentAt;
    this.longestSilence = longestPause * tolerance;
    target.streams.add(this);
  }

  /** When bytes came last; undefined before the first, and while it is held back. */
  get lastByteAt(): Milliseconds | undefined {
    return this.#lastByteAt;
  }

  noteBytes(now: Milliseconds): void {
    this.#lastByteAt = now;
    this.#target.isDoubted = false;
  }

  /** It is held back here, because its caller reads slowly: its silence says nothing of the upstream. */
  pause(): void {
    this.#lastByteAt = undefined;
  }

  end(): void {
    this.#target.streams.delete(this);
  }
}

/**
 * The streams of one gateway by target. A head whose host stands still says nothing, and neither does the sidecar beside it: control waits
 * for a word, and requests wait there for their whole time. That all streams that began there are silent shows it to each gateway that
 * has one. A target that stood still is judged by the first request that goes there again.
 */
export class StreamProgress {
  static readonly checkInterval = checkInterval;

  readonly #targets = new Map<string, FollowedTarget>();
  #checkedAt: Milliseconds | undefined;
  /** From when on what came was read. */
  #watchingSince: Milliseconds = 0;

  /** A request is sent to the target; `longestPause` is what its route wants between two events. */
  follow(target: string, now: Milliseconds, longestPause?: Milliseconds): FollowedStream {
    const followed = this.#targets.get(target) ?? { streams: new Set(), isDoubted: false };
    this.#targets.set(target, followed);
    return new FollowedStream(followed, now, longestPause);
  }

  /** To be called once in each interval. */
  review(now: Milliseconds): ProgressReview {
    const before = this.#checkedAt;
    this.#checkedAt = now;
    if (before === undefined || now - before > longestBetweenChecks) {
      this.#watchingSince = now;
    }
    const stalled = new Set<string>();
    const doubted = new Set<string>();
    for (const [target, followed] of this.#targets) {
      if (this.#isStalled(followed, now)) {
        followed.isDoubted = true;
        stalled.add(target);
      }
      if (followed.isDoubted && followed.streams.size > 0) {
        doubted.add(target);
      }
    }
    return { doubted, stalled };
  }

  /** Forgets targets that are there no more and have nothing under way. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, { streams }] of this.#targets) {
      if (streams.size === 0 && !keys.has(key)) {
        this.#targets.delete(key);
      }
    }
  }

  #isStalled(target: FollowedTarget, now: Milliseconds): boolean {
    const silentSince = findSilentSince(target);
    if (silentSince === undefined) {
      return false;
    }
    const limits = [...target.streams].map(({ longestSilence }) => longestSilence);
    return now - Math.max(silentSince, this.#watchingSince) > Math.min(...limits);
  }
}

/** Since when nothing came though something should have; undefined where nothing can be said. */
function findSilentSince({ streams, isDoubted }: FollowedTarget): Milliseconds | undefined {
  const begun = [...streams].flatMap(({ lastByteAt }) => lastByteAt ?? []);
  if (begun.length > 0) {
    return Math.max(...begun);
  }
  return isDoubted && streams.size > 0
    ? Math.min(...[...streams].map(({ sentAt }) => sentAt))
    : undefined;
}
