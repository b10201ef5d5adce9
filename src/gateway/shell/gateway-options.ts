import type { Logger } from 'pino';

import type { Clock, InboundMemory, Milliseconds, RandomSource } from '../../common/index.js';
import type { Address, WatchedStateSource } from '../../model/index.js';
import type { CrashLedger } from '../crashes/index.js';
import type { ClaimClient } from '../claims.js';
import type { RequestLimits } from '../limits.js';
import type { Metrics } from '../metrics.js';
import type { CallerLimits, RequestOutcome } from './request-runner.js';

/** Options of a gateway. */
export interface GatewayOptions {
  readonly name: string;
  /** `ip:port` for callers; port 0 selects a free port. */
  readonly address: Address;
  readonly watched: WatchedStateSource;
  readonly claims: ClaimClient;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Shared by all ports of the process. */
  readonly inbound: InboundMemory;
  readonly maximumConnections: number;
  readonly maximumBodyBytes: number;
  /** Maximum number of JSON values in a chat completion request. */
  readonly maximumBodyValues: number;
  /** Maximum size of an answer that is not streamed and is buffered until it is complete. */
  readonly maximumAnswerBytes: number;
  /** Timeout of a request that does not specify one. */
  readonly defaultTimeout?: Milliseconds;
  readonly drain?: DrainLimits;
  readonly requestLimits?: RequestLimits;
  readonly callerLimits?: CallerLimits;
  /** Crashes of upstreams and quarantines; absent where they are not tracked. */
  readonly crashLedger?: CrashLedger;
  /** Called with the outcome of each request, for service-level counters. */
  readonly observe?: (outcome: RequestOutcome) => void;
}

/** Times of a graceful shutdown. */
export interface DrainLimits {
  /** How long the gateway reports that it is not ready before it refuses new requests. */
  readonly unreadyPeriod: Milliseconds;
  /** How long requests in flight may take after that before they are aborted and logged. */
  readonly hardLimit: Milliseconds;
}

/** Two seconds for the load balancer to notice, five minutes for answers to finish. */
export const defaultDrainLimits: DrainLimits = { unreadyPeriod: 2000, hardLimit: 300_000 };

/** Callers can detect a silent stream within seconds; a caller that reads nothing for half a minute counts as gone. */
export const defaultCallerLimits: CallerLimits = { keepAliveInterval: 5000, stallLimit: 30_000 };
