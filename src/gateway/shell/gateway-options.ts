import type { Logger } from 'pino';

import type { Clock, Milliseconds, RandomSource } from '../../common/index.js';
import type { Address, WatchedStateSource } from '../../model/index.js';
import type { ClaimClient } from '../claims.js';
import type { RequestLimits } from '../limits.js';
import type { Metrics } from '../metrics.js';
import type { CallerLimits, RequestOutcome } from './request-runner.js';

/** What a gateway needs. */
export interface GatewayOptions {
  readonly name: string;
  /** `ip:port` for callers; port 0 takes a free one. */
  readonly address: Address;
  readonly watched: WatchedStateSource;
  readonly claims: ClaimClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly maximumBodyBytes: number;
  /** Bytes of an answer that is not streamed, held until it is whole. */
  readonly maximumAnswerBytes: number;
  /** Time for a request that names none. */
  readonly defaultTimeout?: Milliseconds;
  readonly drain?: DrainLimits;
  readonly requestLimits?: RequestLimits;
  readonly callerLimits?: CallerLimits;
  /** Told how each request came out, for service-level counters. */
  readonly observe?: (outcome: RequestOutcome) => void;
}

/** Times of a graceful shutdown. */
export interface DrainLimits {
  /** How long the gateway says that it is not ready before it refuses new requests. */
  readonly unreadyPeriod: Milliseconds;
  /** When what is still in flight is cut, and reported. */
  readonly hardLimit: Milliseconds;
}

/** The balancer gets two seconds to notice; answers get five minutes to end. */
export const defaultDrainLimits: DrainLimits = { unreadyPeriod: 2000, hardLimit: 300_000 };

/** Callers notice a silent stream within seconds; one that takes nothing for half a minute is gone. */
export const defaultCallerLimits: CallerLimits = { keepAliveInterval: 5000, stallLimit: 30_000 };
