import type { Milliseconds } from '../../common/index.js';

/** When a silent host may be expected back. */

/** Weight of a new observation in the measured duration of a restart. */
const learningRate = 0.05;

/**
 * Expects the return of silent hosts.
 * A silence is a restart, which is over soon, or a failure, which takes hours; both durations are taken as
 * exponential. The longer the silence, the less likely a restart: the expectation grows from seconds to hours.
 */
export class ReturnEstimate {
  readonly #outageDuration: Milliseconds;
  readonly #restartShare: number;
  #restartDuration: Milliseconds;

  constructor(restartDuration: Milliseconds, outageDuration: Milliseconds, restartShare: number) {
    this.#restartDuration = restartDuration;
    this.#outageDuration = outageDuration;
    this.#restartShare = restartShare;
  }

  /** Expected time until a host returns that has been silent for so long. */
  expectReturn(silence: Milliseconds): Milliseconds {
    const restart = this.#restartShare * Math.exp(-silence / this.#restartDuration);
    const outage = (1 - this.#restartShare) * Math.exp(-silence / this.#outageDuration);
    const weighted = restart * this.#restartDuration + outage * this.#outageDuration;
    return weighted / (restart + outage);
  }

  /** Learns from a host that returned; a return after an outage says nothing of restarts. */
  noteReturn(silence: Milliseconds): void {
    const ratio = silence / this.#restartDuration;
    if (ratio < 10) {
      this.#restartDuration += learningRate * (silence - this.#restartDuration);
    }
  }
}
