import type { RateLimitedLog, Clock, Milliseconds } from '../../common/index.js';
import type { TargetChooser, TargetLoads } from '../../dispatch/index.js';
import type { RoutedAccount, RoutedService, Route } from '../../routing/index.js';
import type { CrashLedger } from './crash-ledger.js';
import type { CrashWatch } from './crash-watch.js';
import type { Dialect, RawHeaders } from './dialect.js';
import type { RequestTimes } from './request-times.js';
import type { RequestPermits } from './request-permits.js';
import type { StreamProgress } from './stream-progress.js';
import type { UpstreamConnections } from './upstream-connections.js';
import type { UpstreamObserver } from './upstream-observer.js';

/** Inputs and outcome of a delivery. */

/** A request whose body has been read completely. */
export interface ReceivedRequest {
  readonly requestId: string | undefined;
  readonly method: string;
  /** Includes the query string. */
  readonly path: string;
  readonly rawHeaders: RawHeaders;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: RoutedService;
  readonly account: RoutedAccount | undefined;
  readonly model: string | undefined;
  /** Tokens to read; undefined if the caller does not say. */
  readonly tokens: number | undefined;
  /** Identifier of the last event that the caller has received. */
  readonly resumeAfter: string | undefined;
  readonly startedAt: Milliseconds;
  readonly deadline: Milliseconds;
}

/** Dependencies that all deliveries of a gateway share. */
export interface SharedDeliveryDependencies {
  readonly dialect: Dialect;
  readonly chooser: TargetChooser;
  readonly loads: TargetLoads;
  readonly progress: StreamProgress;
  readonly connections: UpstreamConnections;
  readonly crashWatch: CrashWatch;
  readonly crashLedger: CrashLedger;
  readonly permits: RequestPermits;
  readonly observer: UpstreamObserver;
  /** Called for each request sent to an upstream with a known rate limit. */
  readonly onSentToLimited: (service: RoutedService) => void;
  /** Connections that this gateway may open to one instance of a service. */
  readonly connectionLimit: (service: RoutedService) => number;
  readonly spendRetry: (service: string) => boolean;
  readonly clock: Clock;
  readonly log: RateLimitedLog;
}

/** How a delivery ended, for logs and metrics. */
export interface DeliveryOutcome {
  /** `whole` for a complete response, `left` if the caller disconnected, otherwise the name of a result code. */
  readonly result: string;
  readonly attempts: number;
  /** Key of the last target; undefined if the request was sent to none. */
  readonly target: string | undefined;
  readonly duration: Milliseconds;
  readonly times: RequestTimes;
  /** Time for which the last attempt ran on its upstream, excluding most of its queueing there; undefined if no data arrived. */
  readonly runDuration: Milliseconds | undefined;
}
