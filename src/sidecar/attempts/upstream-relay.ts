import type { Logger } from 'pino';

import {
  FailureError,
  type Clock,
  type Milliseconds,
  type ResultCodeName,
} from '../../common/index.js';
import { EventStreamTail, isEventStream } from './event-stream.js';
import type { AttemptEvent, AttemptKey, UpstreamRequest } from './messages.js';
import type { UpstreamClient } from './upstream-client.js';
import type { UpstreamCrashes } from './upstream-crashes.js';
import { readPause } from './upstream-pause.js';

/** Dependencies of the relay. */
export interface UpstreamRelayOptions {
  readonly upstream: UpstreamClient;
  readonly crashes: UpstreamCrashes;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Receives the events of upstream responses. */
  readonly handle: (event: AttemptEvent) => void;
  /** Returns undefined if reading can continue; otherwise a promise that resolves once it can. */
  readonly waitForCapacity: (key: AttemptKey) => Promise<void> | undefined;
}

/** How a request to the upstream ended. */
interface ReadOutcome {
  readonly code: ResultCodeName;
  /** Whether it may have ended because the upstream crashed. */
  readonly mayBeCrash: boolean;
}

/** Sends each attempt to the upstream once, without retries, and converts the response into events. */
export class UpstreamRelay {
  readonly #options: UpstreamRelayOptions;
  readonly #abortControllers = new Map<AttemptKey, AbortController>();

  constructor(options: UpstreamRelayOptions) {
    this.#options = options;
  }

  /** Resolves when the response has ended, complete or not. */
  async run(key: AttemptKey, request: UpstreamRequest): Promise<void> {
    this.#options.logger.debug({ attempt: key }, 'handed to the upstream');
    const abortController = new AbortController();
    this.#abortControllers.set(key, abortController);
    const sentAt = this.#now();
    const { signal } = abortController;
    const { code, mayBeCrash } = await this.#read(key, request, signal);
    const crash = mayBeCrash && !signal.aborted ? await this.#findCrash(key, sentAt) : undefined;
    this.#abortControllers.delete(key);
    const ended = { type: 'upstreamEnded', now: this.#now(), key } as const;
    if (crash === undefined) {
      this.#options.handle({ ...ended, code });
      return;
    }
    // Without a length or chunks, a response that the crash interrupted looks complete.
    this.#options.handle({ ...ended, code: code === 'ok' ? 'answerBroken' : code, crash });
  }

  /** Undefined if the upstream has not crashed. */
  async #findCrash(key: AttemptKey, sentAt: Milliseconds): Promise<string | undefined> {
    const crash = await this.#options.crashes.find(sentAt);
    if (crash !== undefined) {
      this.#options.logger.warn({ attempt: key, crash }, 'upstream crashed');
    }
    return crash;
  }

  /** Aborts the upstream request of the attempt; best effort. */
  cancel(key: AttemptKey): void {
    this.#abortControllers.get(key)?.abort();
  }

  /** Aborts all upstream requests. */
  close(): void {
    for (const abortController of this.#abortControllers.values()) {
      abortController.abort();
    }
  }

  async #read(
    key: AttemptKey,
    request: UpstreamRequest,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const { upstream, handle, waitForCapacity: findWait, logger } = this.#options;
    let hasHead = false;
    try {
      const response = await upstream.start(request, signal);
      if (!response.isPlain) {
        response.discard();
        throw new Error('the response is in an unknown transfer coding');
      }
      hasHead = true;
      const { status, headers, isFramed } = response;
      const pause = readPause(status, headers);
      if (pause !== undefined) {
        logger.info({ attempt: key, pause }, 'upstream asked for a pause');
      }
      handle({ type: 'upstreamHead', now: this.#now(), key, status, headers });
      const tail = !isFramed && isEventStream(headers) ? new EventStreamTail() : undefined;
      for await (const bytes of response.chunks) {
        tail?.push(bytes);
        handle({ type: 'upstreamData', now: this.#now(), key, bytes });
        const wait = findWait(key);
        if (wait !== undefined) {
          await wait;
        }
      }
      const code = tail?.isInsideEvent === true ? 'answerBroken' : 'ok';
      return { code, mayBeCrash: !isFramed };
    } catch (error) {
      logger.warn({ err: error, attempt: key }, 'upstream request failed');
      if (hasHead) {
        return { code: 'answerBroken', mayBeCrash: true };
      }
      const code = error instanceof FailureError ? error.failure.code : 'upstreamFailed';
      return { code, mayBeCrash: code === 'upstreamFailed' };
    }
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }
}
