import type { Logger } from 'pino';

import {
  FailureError,
  type Clock,
  type Milliseconds,
  type ResultCodeName,
} from '../../common/index.js';
import type { AttemptEvent, AttemptKey, UpstreamRequest } from './messages.js';
import type { UpstreamCaller } from './upstream-caller.js';

/** What the relay needs of the service around it. */
export interface UpstreamRelayOptions {
  readonly upstream: UpstreamCaller;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Takes what the upstream answers. */
  readonly handle: (event: AttemptEvent) => void;
  /** Undefined while the answer can be read on; otherwise resolves when it can. */
  readonly findWait: (key: AttemptKey) => Promise<void> | undefined;
}

/** Hands attempts to the upstream, each once, and turns the answers into events. */
export class UpstreamRelay {
  readonly #options: UpstreamRelayOptions;
  readonly #cancellations = new Map<AttemptKey, AbortController>();

  constructor(options: UpstreamRelayOptions) {
    this.#options = options;
  }

  /** Resolves when the attempt's answer is over, whole or not. */
  async run(key: AttemptKey, request: UpstreamRequest): Promise<void> {
    this.#options.logger.debug({ attempt: key }, 'handed to the upstream');
    const cancellation = new AbortController();
    this.#cancellations.set(key, cancellation);
    const code = await this.#read(key, request, cancellation.signal);
    this.#cancellations.delete(key);
    this.#options.handle({ type: 'upstreamEnded', now: this.#now(), key, code });
  }

  /** Ends the upstream's work for the attempt; best effort. */
  cancel(key: AttemptKey): void {
    this.#cancellations.get(key)?.abort();
  }

  /** Ends the upstream's work for every attempt. */
  close(): void {
    for (const cancellation of this.#cancellations.values()) {
      cancellation.abort();
    }
  }

  async #read(
    key: AttemptKey,
    request: UpstreamRequest,
    signal: AbortSignal,
  ): Promise<ResultCodeName> {
    const { upstream, handle, findWait, logger } = this.#options;
    let hasHead = false;
    try {
      const answer = await upstream.start(request, signal);
      hasHead = true;
      const { status, headers } = answer;
      handle({ type: 'upstreamHead', now: this.#now(), key, status, headers });
      for await (const bytes of answer.chunks) {
        handle({ type: 'upstreamData', now: this.#now(), key, bytes });
        const wait = findWait(key);
        if (wait !== undefined) {
          await wait;
        }
      }
      return answer.isFramed ? 'ok' : 'answerBroken';
    } catch (error) {
      logger.warn({ err: error, attempt: key }, 'upstream broke off');
      if (hasHead) {
        return 'answerBroken';
      }
      return error instanceof FailureError ? error.failure.code : 'upstreamFailed';
    }
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }
}
