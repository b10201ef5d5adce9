import type { Clock, Milliseconds, RateLimitedLog } from '../../common/index.js';
import type {
  Evacuations,
  RequestPermits,
  Target,
  TargetLoads,
  UpstreamAvailability,
} from '../../dispatch/index.js';
import { formatIdentity } from '../../routing/index.js';
import type { EventFault } from '../events/index.js';
import type { DirectMetrics } from './direct-metrics.js';
import type { ResponseMetadata } from './dialect.js';

/** Records what the headers of responses say about the upstreams that sent them. */

/** The request that a response answers. */
export interface AnsweredRequest {
  readonly requestId: string | undefined;
  readonly sentAt: Milliseconds;
}

/** How far a stream has come. */
export interface StreamPosition {
  readonly requestId: string | undefined;
  readonly attempt: number;
  /** Identifier of the last event that was forwarded. */
  readonly lastEventId: string | undefined;
}

export interface UpstreamObserverOptions {
  readonly loads: TargetLoads;
  readonly permits: RequestPermits;
  readonly availability: UpstreamAvailability;
  readonly evacuations: Evacuations;
  readonly metrics: DirectMetrics;
  readonly clock: Clock;
  readonly log: RateLimitedLog;
  /** Called when a target has reported its load, so that a waiting request may be sent. */
  readonly onCapacityChanged: () => void;
  /** Called when an upstream accepts no more requests; those that are not sent yet must go elsewhere. */
  readonly onUnavailable: () => void;
}

export class UpstreamObserver {
  readonly #options: UpstreamObserverOptions;

  constructor(options: UpstreamObserverOptions) {
    this.#options = options;
  }

  /** Records that a request is being written to a connection of the target. */
  noteWritten(target: Target, requestId: string | undefined): void {
    const { availability, evacuations, metrics, clock, log, permits } = this.#options;
    const standing = evacuations.standingOf(target.failureDomain, clock.monotonic());
    if (standing !== 'open') {
      metrics.noteSentToEvacuated(standing);
      const { failureDomain, key } = target;
      log.info(
        { failureDomain, target: key, standing, requestId },
        'request sent to an evacuated domain',
      );
    }
    const upstream = formatIdentity(target.instance);
    permits.noteWritten(upstream, clock.monotonic());
    if (permits.isCold(upstream, clock.monotonic())) {
      metrics.noteSentToCold(target.service);
    }
    const reason = availability.findUnavailability(upstream, clock.monotonic());
    if (reason !== undefined) {
      metrics.noteSentToUnavailable(target.service, reason);
      log.info({ upstream, reason, requestId }, 'request sent to an unavailable upstream');
    }
  }

  noteResponse(target: Target, facts: ResponseMetadata, request: AnsweredRequest): void {
    const { loads, clock, onCapacityChanged } = this.#options;
    loads.noteAnswered(target);
    this.#noteAvailability(target, facts);
    this.#noteRateLimit(target, facts, request);
    this.#noteCold(target, facts, request);
    if (facts.load !== undefined) {
      loads.noteLoad(target, facts.load, clock.monotonic());
      onCapacityChanged();
    }
  }

  /** An event of a stream does not belong to it. */
  noteEventFault(
    target: Target,
    fault: EventFault,
    { requestId, attempt, lastEventId }: StreamPosition,
  ): void {
    const { metrics, log } = this.#options;
    const { key, service, instance } = target;
    metrics.noteEventFault(service, fault);
    const fields = { target: key, upstream: formatIdentity(instance), requestId, attempt };
    log.info({ ...fields, fault, lastEventId }, 'event does not belong to its stream');
  }

  /** A late response to an earlier request counts too: it comes on a connection to the same process. */
  #noteAvailability(
    target: Target,
    { retryAfter: pause, isLeaving, requestId }: ResponseMetadata,
  ): void {
    const { loads, availability, metrics, clock, log, onUnavailable } = this.#options;
    const { key, service, instance } = target;
    const upstream = formatIdentity(instance);
    const fields = { upstream, target: key, service, requestId };
    if (pause !== undefined && availability.notePause(upstream, pause, clock.monotonic())) {
      metrics.notePause(service);
      log.info({ ...fields, pause }, 'upstream asked for a pause');
      loads.notePause(target);
      onUnavailable();
    }
    if (isLeaving && availability.noteLeaving(upstream)) {
      metrics.noteLeaving(service);
      log.info(fields, 'upstream is leaving');
      onUnavailable();
    }
  }

  #noteCold(
    { key, instance }: Target,
    { isMisdirected, requestId: answeredId, coldFor }: ResponseMetadata,
    { requestId }: AnsweredRequest,
  ): void {
    const { permits, clock, log } = this.#options;
    const upstream = formatIdentity(instance);
    if (isMisdirected) {
      permits.noteMisdirected(upstream);
      return;
    }
    if (coldFor === undefined || answeredId !== requestId) {
      return;
    }
    if (permits.noteCold(upstream, coldFor, clock.monotonic())) {
      log.info({ upstream, target: key, requestId, coldFor }, 'upstream is cold');
    }
  }

  /** Ignores responses from another upstream or to another request: their rate limit may not be that of the target. */
  #noteRateLimit(
    target: Target,
    { isMisdirected, requestId: answeredId, requestsPerSecond }: ResponseMetadata,
    { requestId, sentAt }: AnsweredRequest,
  ): void {
    if (isMisdirected || answeredId !== requestId) {
      return;
    }
    const { permits, clock, log } = this.#options;
    const upstream = formatIdentity(target.instance);
    if (permits.noteAnswer(upstream, requestsPerSecond, sentAt, clock.monotonic())) {
      const fields = { upstream, target: target.key, requestId };
      log.info(
        { ...fields, requestsPerSecond: requestsPerSecond ?? null },
        'upstream rate limit changed',
      );
    }
  }
}
