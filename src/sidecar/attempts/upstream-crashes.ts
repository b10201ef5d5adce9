import { probeUntilRefused, type Milliseconds, type ProbeVerdict } from '../../common/index.js';
import type { Incarnation } from '../../model/index.js';

/** Finds out whether the local upstream has crashed, and numbers its crashes, so that all gateways count the same one once. */

/** One probe only, because the gateway that may try another group waits for the verdict. */
const probeDelay: Milliseconds = 20;

export class UpstreamCrashes {
  readonly #incarnation: Incarnation;
  readonly #probe: () => Promise<ProbeVerdict>;
  #count = 0;
  /** Whether the upstream has given no response since its last crash. */
  #isDown = false;

  constructor(incarnation: Incarnation, probe: () => Promise<ProbeVerdict>) {
    this.#incarnation = incarnation;
    this.#probe = probe;
  }

  /** The upstream has begun to answer a request. */
  noteResponse(): void {
    this.#isDown = false;
  }

  /** The upstream broke off an answer; returns the identifier of its crash, or undefined if it still accepts connections. */
  async find(): Promise<string | undefined> {
    const verdict = await probeUntilRefused(this.#probe, [probeDelay]);
    if (verdict !== 'refused') {
      return undefined;
    }
    if (!this.#isDown) {
      this.#isDown = true;
      this.#count += 1;
    }
    return `${this.#incarnation}/${this.#count}`;
  }
}
