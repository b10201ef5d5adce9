import type { Milliseconds } from '../common/index.js';
import type { EngineView } from './types.js';

/** Decides how long the first placement waits for engines that are still starting; free of I/O. */

/** Within this time the sidecars of all hosts have reported, because they start within a few tenths of a second of each other. */
const minimumSettlingTime: Milliseconds = 1500;
/** An engine that does not answer by then is not waited for. */
const settlingTimeout: Milliseconds = 4500;

/**
 * Delays the first placement until all engines with a sidecar answer.
 * If engines were placed one by one as they start, they would form the smallest groups first and be regrouped later. Each regrouping
 * loads weights again; the last groups opened only at the moment of the first request.
 */
export class Settling {
  #firstSeenAt: Milliseconds | undefined;
  #isOver = false;

  /** Ends the wait, because groups were placed before or there is traffic. */
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
    const hasMissingEngine = [...engines.values()].some(({ facts }) => facts.reading === undefined);
    this.#isOver =
      waited >= settlingTimeout || (waited >= minimumSettlingTime && !hasMissingEngine);
    return !this.#isOver;
  }
}
