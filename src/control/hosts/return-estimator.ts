import type { Milliseconds } from '../../common/index.js';

/** Weight of a new observation in the moving average of the restart duration. */
const learningRate = 0.05;

/**
 * Estimates when a silent host returns.
 * A silence is either a restart, which is short, or an outage, which takes hours; both durations are modelled as
 * exponentially distributed. The longer the silence, the less likely a restart: the estimate grows from seconds to hours.
 */
export class ReturnEstimator {
  readonly #outageDuration: Milliseconds;
  readonly #restartShare: number;
  #restartDuration: Milliseconds;

  constructor(restartDuration: Milliseconds, outageDuration: Milliseconds, restartShare: number) {
    this.#restartDuration = restartDuration;
    this.#outageDuration = outageDuration;
    this.#restartShare = restartShare;
  }

  /** Expected time until the return of a host that has been silent for `silence`. */
  estimateReturn(silence: Milliseconds): Milliseconds {
    const restart = this.#restartShare * Math.exp(-silence / this.#restartDuration);
    const outage = (1 - this.#restartShare) * Math.exp(-silence / this.#outageDuration);
    const weighted = restart * this.#restartDuration + outage * this.#outageDuration;
    return weighted / (restart + outage);
  }

  /** Updates the restart duration when a host returns. A return after an outage says nothing about restarts and is ignored. */
  recordReturn(silence: Milliseconds): void {
    const ratio = silence / this.#restartDuration;
    if (ratio < 10) {
      this.#restartDuration += learningRate * (silence - this.#restartDuration);
    }
  }
}
