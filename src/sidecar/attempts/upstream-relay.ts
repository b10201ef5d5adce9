import type { Logger } from 'pino';

import {
  FailureError,
  type Clock,
  type Milliseconds,
  type ResultCodeName,
} from '../../common/index.js';
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
    const code = await this.#read(key, request, abortController.signal);
    const crash = await this.#findCrash(key, code, sentAt, abortController.signal);
    this.#abortControllers.delete(key);
    const ended = { type: 'upstreamEnded', now: this.#now(), key, code } as const;
    this.#options.handle(crash === undefined ? ended : { ...ended, crash });
  }

  /** Undefined if the upstream did not break the answer off, or did not end with it. */
  async #findCrash(
    key: AttemptKey,
    code: ResultCodeName,
    sentAt: Milliseconds,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const isBroken = code === 'answerBroken' || code === 'upstreamFailed';
    if (!isBroken || signal.aborted) {
      return undefined;
    }
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
  ): Promise<ResultCodeName> {
    const { upstream, handle, waitForCapacity: findWait, logger } = this.#options;
    let hasHead = false;
    try {
      const response = await upstream.start(request, signal);
      hasHead = true;
      const { status, headers } = response;
      const pause = readPause(status, headers);
      if (pause !== undefined) {
        logger.info({ attempt: key, pause }, 'upstream asked for a pause');
      }
      handle({ type: 'upstreamHead', now: this.#now(), key, status, headers });
      for await (const bytes of response.chunks) {
        handle({ type: 'upstreamData', now: this.#now(), key, bytes });
        const wait = findWait(key);
        if (wait !== undefined) {
          await wait;
        }
      }
      return response.isFramed ? 'ok' : 'answerBroken';
    } catch (error) {
      logger.warn({ err: error, attempt: key }, 'upstream request failed');
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
