import type { Milliseconds } from '../common/index.js';
import type { EngineView } from './types.js';

/** Decides how long a first placement waits for engines that still come up; free of I/O. */

/** By then the sidecars of all hosts have reported: they start within some tenths of a second of each other. */
const shortestSettling: Milliseconds = 1500;
/** An engine that is not there by then is not waited for. */
const longestSettling: Milliseconds = 4500;

/**
 * The first placement waits until the engines that have a sidecar answer.
 * Placed one by one as they come up, they form the smallest groups first, and are regrouped later: each regrouping loads weights
 * again, and the last groups opened in the very moment of the first request.
 */
export class Settling {
  #firstSeenAt: Milliseconds | undefined;
  #isOver = false;

  /** Groups were placed before, or there is traffic: nothing is waited for. */
  end(): void {
    this.#isOver = true;
  }

  isSettling(engines: ReadonlyMap<string, EngineView>, now: Milliseconds): boolean {
    if (this.#isOver) {
      return false;
    }
    if (engines.size > 0) {
      this.#firstSeenAt ??= now;
    }
    const waited = now - (this.#firstSeenAt ?? now);
    const isMissing = [...engines.values()].some(({ facts }) => facts.reading === undefined);
    this.#isOver = waited >= longestSettling || (waited >= shortestSettling && !isMissing);
    return !this.#isOver;
  }
}
