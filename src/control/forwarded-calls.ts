import type { CallOptions } from '@connectrpc/connect';
import type { Logger } from 'pino';
import { Histogram, type Registry } from 'prom-client';

import { RateLimitedLog, type Clock, type Milliseconds } from '../common/index.js';

/** Times the calls that this control host forwards to the leader, so that a wait for the leader can be told from a wait for a connection. */

const logLimit = { burst: 20, perSecond: 1 };
const durationBuckets = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 5];
const millisecondsPerSecond = 1000;
/**
 * Callers move on to another control host after a second without an answer. Two attempts at a read have to fit into that, so that a
 * connection that went silent costs the caller nothing but time.
 */
const readAttemptTimeout: Milliseconds = 400;

/** Kinds of forwarded calls. */
export type ForwardedCallKind = 'announcement' | 'command' | 'confirmation' | 'read';

/** Options of the measurement. */
export interface ForwardedCallsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: Registry;
}

export class ForwardedCalls {
  readonly #clock: Clock;
  readonly #log: RateLimitedLog;
  readonly #durations: Histogram<'call' | 'outcome'>;

  constructor({ clock, logger, registry }: ForwardedCallsOptions) {
    this.#clock = clock;
    this.#log = new RateLimitedLog(logger, clock, logLimit);
    this.#durations = new Histogram({
      name: 'pistachiospoke_forwarded_call_seconds',
      help: 'Calls forwarded to the leader, by kind and by whether it answered.',
      labelNames: ['call', 'outcome'],
      buckets: durationBuckets,
      registers: [registry],
    });
  }

  /** Makes a call; its error is logged and thrown on. */
  async measure<Answer>(
    call: ForwardedCallKind,
    leader: string,
    send: () => Promise<Answer>,
  ): Promise<Answer> {
    const startedAt = this.#clock.monotonic();
    try {
      const answer = await send();
      this.#observe(call, 'answered', startedAt);
      return answer;
    } catch (error) {
      const duration = this.#observe(call, 'failed', startedAt);
      this.#log.info(
        { call, leader, duration: Math.round(duration), error: String(error) },
        'call to the leader failed',
      );
      throw error;
    }
  }

  /** Makes a call that changes nothing, and once more if it is not answered. `send` asks the pool for a client each time. */
  async measureRead<Answer>(
    leader: string,
    send: (options: Required<Pick<CallOptions, 'timeoutMs'>>) => Promise<Answer>,
  ): Promise<Answer> {
    const attempt = (): Promise<Answer> =>
      this.measure('read', leader, () => send({ timeoutMs: readAttemptTimeout }));
    try {
      return await attempt();
    } catch {
      // The failure is logged already.
      return attempt();
    }
  }

  #observe(call: ForwardedCallKind, outcome: string, startedAt: number): number {
    const duration = this.#clock.monotonic() - startedAt;
    this.#durations.observe({ call, outcome }, duration / millisecondsPerSecond);
    return duration;
  }
}
