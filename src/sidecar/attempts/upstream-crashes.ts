import { probeUntilRefused, type Milliseconds, type ProbeVerdict } from '../../common/index.js';
import type { Incarnation } from '../../model/index.js';

/** Finds out whether the local upstream has crashed, and numbers its crashes, so that all gateways count the same one once. */

/** One probe only, because the gateway that may try another group waits for the verdict. */
const probeDelay: Milliseconds = 20;

export interface UpstreamCrashesOptions {
  readonly incarnation: Incarnation;
  /** Checks whether the upstream accepts connections. */
  readonly probe: () => Promise<ProbeVerdict>;
  /** Monotonic time. */
  readonly readTime: () => Milliseconds;
}

export class UpstreamCrashes {
  readonly #options: UpstreamCrashesOptions;
  #count = 0;
  /** When the last crash was found. */
  #foundAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(options: UpstreamCrashesOptions) {
    this.#options = options;
  }

  /**
   * The upstream broke off a request that was sent at `sentAt`; returns the identifier of its crash, or undefined if it still accepts
   * connections. A request that was sent after the last crash was found has reached a later start of the upstream.
   */
  async find(sentAt: Milliseconds): Promise<string | undefined> {
    const { incarnation, probe, readTime } = this.#options;
    const verdict = await probeUntilRefused(probe, [probeDelay]);
    if (verdict !== 'refused') {
      return undefined;
    }
    if (sentAt > this.#foundAt) {
      this.#count += 1;
      this.#foundAt = readTime();
    }
    return `${incarnation}/${this.#count}`;
  }
}
