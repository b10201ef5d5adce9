import type { Milliseconds } from '../common/index.js';

/** Decides when the head of a response counts as endless; performs no I/O. */

/** Bytes received until the head is complete; the last read may include a part of the body. */
const maximumHeadBytes = 128 * 1024;
/** Time from the first byte of a head or after an interim response, until the read before the last. */
const maximumHeadTime: Milliseconds = 1000;
const maximumInterimResponses = 32;

export class ResponseHeadLimit {
  #bytes = 0;
  #interimResponses = 0;
  /** Times of the first and of the last read since the request or the last interim response. */
  #firstReadAt: Milliseconds | undefined;
  #lastReadAt: Milliseconds = 0;

  /**
   * Takes the size of a read and returns whether the limit is exceeded. The time of a read counts only once another one follows it, since a
   * read that was delayed by a lost packet may complete the head.
   */
  noteRead(bytes: number, now: Milliseconds): boolean {
    const isLate =
      this.#firstReadAt !== undefined && this.#lastReadAt - this.#firstReadAt > maximumHeadTime;
    this.#bytes += bytes;
    this.#firstReadAt ??= now;
    this.#lastReadAt = now;
    return isLate || this.#bytes > maximumHeadBytes;
  }

  /** Takes an interim response (1xx), after which the upstream may take its time; returns whether the limit is exceeded. */
  noteInterimResponse(): boolean {
    this.#interimResponses += 1;
    this.#firstReadAt = undefined;
    return this.#interimResponses > maximumInterimResponses;
  }
}
