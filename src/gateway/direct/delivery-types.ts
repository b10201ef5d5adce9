import type { RateLimitedLog, Clock, Milliseconds } from '../../common/index.js';
import type { RequestPermits, TargetChooser, TargetLoads } from '../../dispatch/index.js';
import type { CrashSubjectKey, RoutedAccount, RoutedService, Route } from '../../routing/index.js';
import type { CrashLedger } from '../crashes/index.js';
import type { CrashWatch } from './crash-watch.js';
import type { Dialect, RawHeaders, TokenCounts } from './dialect.js';
import type { StreamProgress } from './stream-progress.js';
import type { UpstreamConnections } from './upstream-connections.js';
import type { UpstreamObserver } from './upstream-observer.js';
import type { WaitingRequests } from './waiting-requests.js';

/** Inputs of a delivery. */

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
  readonly tokens: TokenCounts | undefined;
  /** Identifiers of the segments of its prompt that other requests may share. */
  readonly promptSegments: readonly string[];
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
  /** Called for each request that is rejected because of the given quarantined subjects. */
  readonly onRejectedForCrashes: (subjects: readonly CrashSubjectKey[]) => void;
  /** Connections that this gateway may open to one instance of a service. */
  readonly connectionLimit: (service: RoutedService) => number;
  readonly spendRetry: (service: string) => boolean;
  /** Undefined if waiting requests are served newest first. */
  readonly waiting: WaitingRequests | undefined;
  readonly clock: Clock;
  readonly log: RateLimitedLog;
}
