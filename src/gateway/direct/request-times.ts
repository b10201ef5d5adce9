import type { Milliseconds } from '../../common/index.js';
import type { Route } from '../../routing/index.js';

/** Measures where the time of one request goes; performs no I/O. */

/** Times of a request; the first three are relative to its start, and undefined if it did not get that far. */
export interface RequestTimes {
  /** When it was first assigned to an upstream. */
  readonly assigned: Milliseconds | undefined;
  /** When it was first written to a connection. */
  readonly written: Milliseconds | undefined;
  /** When the first bytes were forwarded to the caller. */
  readonly firstByte: Milliseconds | undefined;
  /** Longest time between two parts of the response, across upstreams. */
  readonly longestPause: Milliseconds;
}

export class RequestTimer {
  readonly #startedAt: Milliseconds;
  #assignedAt: Milliseconds | undefined;
  #writtenAt: Milliseconds | undefined;
  #firstByteAt: Milliseconds | undefined;
  #latestByteAt: Milliseconds | undefined;
  #longestPause: Milliseconds = 0;

  constructor(startedAt: Milliseconds) {
    this.#startedAt = startedAt;
  }

  noteAssigned(now: Milliseconds): void {
    this.#assignedAt ??= now;
  }

  noteWritten(now: Milliseconds): void {
    this.#writtenAt ??= now;
  }

  noteForwarded(now: Milliseconds): void {
    this.#firstByteAt ??= now;
    this.#longestPause = Math.max(this.#longestPause, now - (this.#latestByteAt ?? now));
    this.#latestByteAt = now;
  }

  read(): RequestTimes {
    const sinceStart = (at: Milliseconds | undefined): Milliseconds | undefined =>
      at === undefined ? undefined : at - this.#startedAt;
    return {
      assigned: sinceStart(this.#assignedAt),
      written: sinceStart(this.#writtenAt),
      firstByte: sinceStart(this.#firstByteAt),
      longestPause: this.#longestPause,
    };
  }
}

/** Whether a response met the objectives of its route. */
export function isInTime(
  { firstByte, longestPause }: RequestTimes,
  objectives: Pick<Route, 'objective' | 'longestPause'>,
): boolean {
  const { objective = Infinity, longestPause: pauseObjective = Infinity } = objectives;
  return firstByte !== undefined && firstByte <= objective && longestPause <= pauseObjective;
}

/** Log fields in whole milliseconds; null for what did not happen. */
export function describeTimes({
  assigned,
  written,
  firstByte,
  longestPause,
}: RequestTimes): object {
  const round = (time: Milliseconds | undefined): number | null =>
    time === undefined ? null : Math.round(time);
  return {
    assigned: round(assigned),
    written: round(written),
    firstByte: round(firstByte),
    longestPause: round(longestPause),
  };
}
