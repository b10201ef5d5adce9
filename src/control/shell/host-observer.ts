import type { Logger } from 'pino';

import {
  assertNever,
  type Clock,
  type ManagedPart,
  type Milliseconds,
} from '../../common/index.js';
import type { Group, HostName, Policy } from '../../model/index.js';
import type { HostAvailability } from '../../placement/index.js';
import type { HostReport } from '../host-directory.js';
import {
  defaultHostHealthOptions,
  IncompleteGroupTracker,
  HostHealth,
  type HostHealthEffect,
  type HostHealthEvent,
  type HostHealthReport,
} from '../hosts/index.js';

/** Updates host health from reports, on every control host, so that a new leader already knows the hosts. */

/**
 * Longest time between ticks. Without this limit, a policy change would go unnoticed until the next wake-up, which may be far in the
 * future.
 */
const maxWait: Milliseconds = 1000;

/** Options of the observer. */
export interface HostObserverOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly readPolicy: () => Policy;
}

export class HostObserver implements ManagedPart {
  readonly name = 'host observer';
  readonly #options: HostObserverOptions;
  readonly #health: HostHealth;
  readonly #groups = new IncompleteGroupTracker();
  /** State of each host from its last report with facts; heartbeats carry none. */
  readonly #lastSigns = new Map<HostName, HostHealthReport>();
  #policy: Policy;
  #timer: NodeJS.Timeout | undefined;
  #isOpen = false;

  constructor(options: HostObserverOptions) {
    this.#options = options;
    this.#policy = options.readPolicy();
    this.#health = new HostHealth(defaultHostHealthOptions, this.#policy);
  }

  open(): void {
    this.#isOpen = true;
    this.#tick();
  }

  close(): void {
    this.#isOpen = false;
    clearTimeout(this.#timer);
  }

  get isWatcherSuspected(): boolean {
    return this.#health.isIsolationSuspected;
  }

  availabilityOf(host: HostName): HostAvailability {
    return this.#health.availabilityOf(host, this.#now());
  }

  /** Whether the host is present, regardless of the state of its upstream. */
  isHeard(host: HostName): boolean {
    return this.#health.isHeard(host, this.#now());
  }

  /** How long the lead of a group has been missing members of this placement. */
  incompleteFor(group: Group): Milliseconds {
    return this.#groups.incompleteFor(group, this.#now());
  }

  /** Handles a report that the control host `via` received. */
  handleReport(report: HostReport, via: string): void {
    const sign = describeSign(report, this.#lastSigns.get(report.host));
    if (sign === undefined) {
      return;
    }
    this.#lastSigns.set(report.host, sign);
    this.#handle({ type: 'reported', now: this.#now(), report: sign, via });
    for (const health of report.groups) {
      this.#groups.record(health, this.#now());
      for (const host of health.missing) {
        this.#handle({ type: 'missed', now: this.#now(), host });
      }
    }
  }

  /** Handles the end of the connection on which a host reported here. */
  handleConnectionClosed(host: HostName): void {
    this.#handle({ type: 'connectionClosed', now: this.#now(), host });
  }

  #tick(): void {
    this.#updatePolicy();
    this.#handle({ type: 'ticked', now: this.#now() });
  }

  #updatePolicy(): void {
    const policy = this.#options.readPolicy();
    if (policy !== this.#policy) {
      this.#policy = policy;
      this.#handle({ type: 'policyChanged', now: this.#now(), policy });
    }
  }

  #handle(event: HostHealthEvent): void {
    for (const effect of this.#health.handle(event)) {
      this.#applyEffect(effect);
    }
  }

  #applyEffect(effect: HostHealthEffect): void {
    const { logger } = this.#options;
    switch (effect.type) {
      case 'statusChanged':
        logger.info({ host: effect.host, standing: effect.status }, 'host standing changed');
        return;
      case 'isolationSuspicionChanged':
        logger.warn(
          { isSuspected: effect.isSuspected },
          'suspicion that this control host is partitioned changed',
        );
        return;
      case 'wake':
        this.#wakeAt(effect.at);
        return;
      default:
        assertNever(effect);
    }
  }

  #wakeAt(at: Milliseconds): void {
    clearTimeout(this.#timer);
    if (!this.#isOpen) {
      return;
    }
    const wait = Math.min(maxWait, Math.max(1, Math.ceil(at - this.#now())));
    this.#timer = setTimeout(() => {
      this.#tick();
    }, wait);
  }

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }
}

/** Extracts what host health needs from a report; undefined while the facts of the host are unknown. */
function describeSign(
  report: HostReport,
  known: HostHealthReport | undefined,
): HostHealthReport | undefined {
  const { host, incarnation, facts, isLeaving } = report;
  const source = facts ?? known;
  if (source === undefined) {
    return undefined;
  }
  const { region, failureDomain, isHealthy } = source;
  return { host, incarnation, region, failureDomain, isHealthy, isLeaving };
}
