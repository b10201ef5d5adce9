import { UpstreamSocket } from '../../wire/index.js';

/**
 * A connection to an upstream that sends a TCP reset when it is destroyed.
 * An orderly close is delivered after the bytes that were sent before it. An upstream whose host is frozen would read the complete request
 * when it resumes, and run it for a caller that has left. A reset discards the data that has not been delivered.
 */
export class ResettingSocket extends UpstreamSocket {
  #isResetting = false;
  #cause: Error | undefined;

  override destroy(error?: Error): this {
    if (this.destroyed || this.connecting || this.#isResetting) {
      return super.destroy(error ?? this.#cause);
    }
    this.#isResetting = true;
    this.#cause = error;
    // Calls `destroy` again, without the error.
    return this.resetAndDestroy();
  }
}
