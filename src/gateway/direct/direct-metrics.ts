import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { Milliseconds } from '../../common/index.js';
import type { DropReason, Unavailability } from '../../dispatch/index.js';
import type { CrashSubject } from '../../routing/index.js';
import type { ExchangePhase } from '../caller-server.js';
import type { EventFault } from '../events/index.js';
import type { DeliveryOutcome } from './delivery-outcome.js';
import type { QueueObserver } from './waiting-requests.js';

/** Metrics of a direct gateway; docs/METRICS.md lists the names. */

const millisecondsPerSecond = 1000;
/** Bucket bounds in seconds: fine around the latency objectives of callers, coarse up to their time limits. */
const durationBuckets = [0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8];

/** Accounts whose work is counted in each report; a series for each of hundreds of accounts would cost more than it tells. */
const countedAccounts = 10;

export class DirectMetrics implements QueueObserver {
  readonly #ended: Counter<'route' | 'result'>;
  readonly #repeats: Counter<'route'>;
  readonly #refused: Counter<'code'>;
  readonly #sentToLimited: Counter<'service'>;
  readonly #sentToCold: Counter<'service'>;
  readonly #rejectedForCrashes: Counter<'subject'>;
  readonly #shedConnections: Counter;
  readonly #upstreamResets: Counter;
  readonly #eventFaults: Counter<'service' | 'fault'>;
  readonly #heldBytes: Gauge;
  readonly #slowCallers: Counter<'action'>;
  readonly #pauses: Counter<'service'>;
  readonly #leaving: Counter<'service'>;
  readonly #sentToUnavailable: Counter<'service' | 'reason'>;
  readonly #sentToEvacuated: Counter<'standing'>;
  readonly #withdrawn: Counter;
  readonly #waiting: Gauge<'route'>;
  readonly #slotRefusals: Counter<'route' | 'reason'>;
  readonly #slotWait: Histogram<'priority'>;
  readonly #accountWork: Counter<'account'>;
  readonly #otherDomain: Counter<'service'>;
  readonly #upstreamTime: Histogram<'service'>;
  readonly #firstByte: Histogram<'route'>;
  readonly #assigned: Histogram<'route'>;
  readonly #duration: Histogram<'route'>;

  readonly #registry: Registry;

  constructor(registry: Registry) {
    this.#registry = registry;
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
    this.#sentToCold = new Counter({
      name: 'pistachiospoke_requests_to_cold_upstreams_total',
      help: 'Requests sent to upstreams while they counted as cold, by service.',
      labelNames: ['service'],
      registers,
    });
    this.#rejectedForCrashes = new Counter({
      name: 'pistachiospoke_requests_rejected_for_crashes_total',
      help: 'Requests that were not sent because of a quarantine, by the type of the subject.',
      labelNames: ['subject'],
      registers,
    });
    this.#shedConnections = new Counter({
      name: 'pistachiospoke_connections_shed_total',
      help: 'Connections of callers that were closed unread because the event loop was busy.',
      registers,
    });
    this.#upstreamResets = new Counter({
      name: 'pistachiospoke_upstream_connections_reset_total',
      help: 'Connections that upstreams reset.',
      registers,
    });
    this.#eventFaults = new Counter({
      name: 'pistachiospoke_event_faults_total',
      help: 'Streams of upstreams with an event that does not belong to them, by service and what is wrong with it.',
      labelNames: ['service', 'fault'],
      registers,
    });
    this.#heldBytes = new Gauge({
      name: 'pistachiospoke_held_bytes',
      help: 'Bytes of requests and responses held for callers; 0 without a memory budget.',
      registers,
    });
    this.#slowCallers = new Counter({
      name: 'pistachiospoke_slow_callers_total',
      help: 'Callers for whom reading stopped, or whose connection was closed, to keep the memory budget.',
      labelNames: ['action'],
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
    this.#sentToEvacuated = new Counter({
      name: 'pistachiospoke_requests_to_evacuated_domains_total',
      help: 'Requests sent to a failure domain during its evacuation, by whether the evacuation had taken effect.',
      labelNames: ['standing'],
      registers,
    });
    this.#withdrawn = new Counter({
      name: 'pistachiospoke_evacuation_withdrawals_total',
      help: 'Attempts that waited for a connection when an evacuation took effect, and were withdrawn.',
      registers,
    });
    this.#waiting = new Gauge({
      name: 'pistachiospoke_requests_waiting',
      help: 'Requests that wait for a slot of an upstream, by route.',
      labelNames: ['route'],
      registers,
    });
    this.#slotRefusals = new Counter({
      name: 'pistachiospoke_slot_refusals_total',
      help: 'Requests refused because no slot was expected in time or came in time, by route and reason.',
      labelNames: ['route', 'reason'],
      registers,
    });
    this.#slotWait = new Histogram({
      name: 'pistachiospoke_slot_wait_seconds',
      help: 'Time from the head of a request until it got a slot, by priority.',
      labelNames: ['priority'],
      buckets: durationBuckets,
      registers,
    });
    this.#accountWork = new Counter({
      name: 'pistachiospoke_account_work_total',
      help: 'Work that the largest accounts asked for: tokens to read plus ten times the tokens to write.',
      labelNames: ['account'],
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

  /** Measures what callers are owed whenever the metrics are read. */
  observeOwed(count: () => Readonly<Record<ExchangePhase, number>>): void {
    new Gauge({
      name: 'pistachiospoke_requests_owed',
      help: 'Requests whose response has not been sent completely, by phase.',
      labelNames: ['phase'],
      registers: [this.#registry],
      collect() {
        for (const [phase, size] of Object.entries(count())) {
          this.set({ phase }, size);
        }
      },
    });
  }

  noteRefusal(code: string): void {
    this.#refused.inc({ code });
  }

  noteQueued(route: string): void {
    this.#waiting.inc({ route });
  }

  noteUnqueued(route: string): void {
    this.#waiting.dec({ route });
  }

  noteSlot(priority: number, wait: Milliseconds): void {
    this.#slotWait.observe({ priority: String(priority) }, wait / millisecondsPerSecond);
  }

  noteSlotRefused(route: string, reason: DropReason): void {
    this.#slotRefusals.inc({ route, reason });
  }

  /** `work`: largest accounts first. */
  noteAccountWork(work: ReadonlyMap<string, number>): void {
    for (const [account, amount] of [...work].slice(0, countedAccounts)) {
      this.#accountWork.inc({ account }, amount);
    }
  }

  noteSentToLimited(service: string): void {
    this.#sentToLimited.inc({ service });
  }

  noteSentToCold(service: string): void {
    this.#sentToCold.inc({ service });
  }

  noteRejectedForCrashes(subject: CrashSubject['type']): void {
    this.#rejectedForCrashes.inc({ subject });
  }

  noteShedConnection(): void {
    this.#shedConnections.inc();
  }

  noteUpstreamReset(): void {
    this.#upstreamResets.inc();
  }

  noteEventFault(service: string, fault: EventFault): void {
    this.#eventFaults.inc({ service, fault });
  }

  noteHeldBytes(bytes: number): void {
    this.#heldBytes.set(bytes);
  }

  noteSlowCaller(action: 'paused' | 'closed'): void {
    this.#slowCallers.inc({ action });
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

  noteSentToEvacuated(standing: 'closing' | 'evacuated'): void {
    this.#sentToEvacuated.inc({ standing });
  }

  noteWithdrawn(attempts: number): void {
    this.#withdrawn.inc(attempts);
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
