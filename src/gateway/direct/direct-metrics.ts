import { Counter, Histogram, Registry } from 'prom-client';

import type { Milliseconds } from '../../common/index.js';
import type { DeliveryOutcome } from './delivery-types.js';
import type { Unavailability } from './upstream-availability.js';

/** Metrics of a direct gateway; docs/METRICS.md lists the names. */

const millisecondsPerSecond = 1000;
/** Bucket bounds in seconds: fine around the latency objectives of callers, coarse up to their time limits. */
const durationBuckets = [0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8];

export class DirectMetrics {
  readonly #ended: Counter<'route' | 'result'>;
  readonly #repeats: Counter<'route'>;
  readonly #refused: Counter<'code'>;
  readonly #sentToLimited: Counter<'service'>;
  readonly #pauses: Counter<'service'>;
  readonly #leaving: Counter<'service'>;
  readonly #sentToUnavailable: Counter<'service' | 'reason'>;
  readonly #otherDomain: Counter<'service'>;
  readonly #upstreamTime: Histogram<'service'>;
  readonly #firstByte: Histogram<'route'>;
  readonly #assigned: Histogram<'route'>;
  readonly #duration: Histogram<'route'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.#ended = new Counter({
      name: 'pistachiospoke_requests_ended_total',
      help: 'Requests by route and by how they ended.',
      labelNames: ['route', 'result'],
      registers,
    });
    this.#repeats = new Counter({
      name: 'pistachiospoke_request_repeats_total',
      help: 'Attempts beyond the first of a request.',
      labelNames: ['route'],
      registers,
    });
    this.#refused = new Counter({
      name: 'pistachiospoke_requests_refused_total',
      help: 'Requests that were sent to no upstream, by result code.',
      labelNames: ['code'],
      registers,
    });
    this.#sentToLimited = new Counter({
      name: 'pistachiospoke_requests_to_limited_upstreams_total',
      help: 'Requests sent to upstreams that had named a rate limit, by service.',
      labelNames: ['service'],
      registers,
    });
    this.#pauses = new Counter({
      name: 'pistachiospoke_upstream_pauses_total',
      help: 'Pauses that upstreams asked for when they rejected requests, by service.',
      labelNames: ['service'],
      registers,
    });
    this.#leaving = new Counter({
      name: 'pistachiospoke_upstreams_leaving_total',
      help: 'Upstreams that announced in a response that they are shutting down, by service.',
      labelNames: ['service'],
      registers,
    });
    this.#sentToUnavailable = new Counter({
      name: 'pistachiospoke_requests_to_unavailable_upstreams_total',
      help: 'Requests sent to upstreams that had asked for a pause or were leaving, by service and reason.',
      labelNames: ['service', 'reason'],
      registers,
    });
    this.#otherDomain = new Counter({
      name: 'pistachiospoke_requests_to_other_domains_total',
      help: 'Requests sent to upstreams in another failure domain, where domains are far apart, by service.',
      labelNames: ['service'],
      registers,
    });
    this.#upstreamTime = new Histogram({
      name: 'pistachiospoke_upstream_first_event_seconds',
      help: 'Time from sending a request to the first event of its response, where it decides on the choice of upstreams.',
      labelNames: ['service'],
      buckets: durationBuckets,
      registers,
    });
    this.#firstByte = new Histogram({
      name: 'pistachiospoke_first_byte_seconds',
      help: 'Time from the head of a request to the first byte of its answer.',
      labelNames: ['route'],
      buckets: durationBuckets,
      registers,
    });
    this.#assigned = new Histogram({
      name: 'pistachiospoke_request_wait_seconds',
      help: 'Time from the head of a request until it was assigned to an upstream.',
      labelNames: ['route'],
      buckets: durationBuckets,
      registers,
    });
    this.#duration = new Histogram({
      name: 'pistachiospoke_request_seconds',
      help: 'Time from the head of a request to its final answer.',
      labelNames: ['route'],
      buckets: durationBuckets,
      registers,
    });
  }

  noteRefusal(code: string): void {
    this.#refused.inc({ code });
  }

  noteSentToLimited(service: string): void {
    this.#sentToLimited.inc({ service });
  }

  notePause(service: string): void {
    this.#pauses.inc({ service });
  }

  noteLeaving(service: string): void {
    this.#leaving.inc({ service });
  }

  noteSentToUnavailable(service: string, reason: Unavailability): void {
    this.#sentToUnavailable.inc({ service, reason });
  }

  noteOtherDomain(service: string): void {
    this.#otherDomain.inc({ service });
  }

  noteUpstreamTime(service: string, time: Milliseconds): void {
    this.#upstreamTime.observe({ service }, time / millisecondsPerSecond);
  }

  noteOutcome(route: string, { result, attempts, duration, times }: DeliveryOutcome): void {
    this.#ended.inc({ route, result });
    this.#duration.observe({ route }, duration / millisecondsPerSecond);
    if (attempts > 1) {
      this.#repeats.inc({ route }, attempts - 1);
    }
    if (times.firstByte !== undefined) {
      this.#firstByte.observe({ route }, times.firstByte / millisecondsPerSecond);
    }
    if (times.assigned !== undefined) {
      this.#assigned.observe({ route }, times.assigned / millisecondsPerSecond);
    }
  }
}
