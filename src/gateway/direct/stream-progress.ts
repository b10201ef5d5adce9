import type { Milliseconds } from '../../common/index.js';

/** Tells which targets stand still, by the streams that began there; free of I/O. */

/** Between two looks at the streams. */
const checkInterval: Milliseconds = 100;
/** A look later than this shows that the process itself did not run: what came meanwhile is not read yet. */
const longestBetweenChecks: Milliseconds = 300;
/** Steps of an engine and the pauses between the events of its streams are shorter, also where it works slowly. */
const longestPause: Milliseconds = 600;

/** One stream for as long as its attempt is under way. */
export class FollowedStream {
  readonly #onEnd: (stream: FollowedStream) => void;
  #lastByteAt: Milliseconds | undefined;

  constructor(onEnd: (stream: FollowedStream) => void) {
    this.#onEnd = onEnd;
  }

  /** When bytes came last; undefined before the first, and while it is held back. */
  get lastByteAt(): Milliseconds | undefined {
    return this.#lastByteAt;
  }

  noteBytes(now: Milliseconds): void {
    this.#lastByteAt = now;
  }

  /** It is held back here, because its caller reads slowly: its silence says nothing of the upstream. */
  pause(): void {
    this.#lastByteAt = undefined;
  }

  end(): void {
    this.#onEnd(this);
  }
}

/**
 * The streams of one gateway by target. A head whose host stands still says nothing, and neither does the sidecar beside it: control waits
 * for a word, and requests wait there for their whole time. That all its streams are silent shows it to each gateway that has one.
 */
export class StreamProgress {
  static readonly checkInterval = checkInterval;

  readonly #targets = new Map<string, Set<FollowedStream>>();
  #checkedAt: Milliseconds | undefined;
  /** From when on what came was read. */
  #watchingSince: Milliseconds = 0;

  /** A request is sent to the target; it counts from its first byte on. */
  follow(target: string): FollowedStream {
    const streams = this.#targets.get(target) ?? new Set();
    this.#targets.set(target, streams);
    const stream = new FollowedStream((ended) => {
      streams.delete(ended);
      if (streams.size === 0) {
        this.#targets.delete(target);
      }
    });
    streams.add(stream);
    return stream;
  }

  /** Targets of which every stream that began is silent for too long; to be asked once in each interval. */
  findStalled(now: Milliseconds): ReadonlySet<string> {
    const before = this.#checkedAt;
    this.#checkedAt = now;
    if (before === undefined || now - before > longestBetweenChecks) {
      this.#watchingSince = now;
    }
    const stalled = [...this.#targets].filter(([, streams]) => this.#areSilent(streams, now));
    return new Set(stalled.map(([target]) => target));
  }

  #areSilent(streams: ReadonlySet<FollowedStream>, now: Milliseconds): boolean {
    const times = [...streams].flatMap(({ lastByteAt }) => lastByteAt ?? []);
    return times.length > 0 && now - Math.max(...times, this.#watchingSince) > longestPause;
  }
}
