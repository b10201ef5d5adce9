import { assertNever, type Controller, type Milliseconds } from '../../common/index.js';
import type { HostName, Policy } from '../../model/index.js';
import type { HostAvailability } from '../../placement/index.js';
import { computeQuarantineScale } from './flap-damping.js';
import { ReturnEstimator } from './return-estimator.js';
import type {
  HostHealthEffect,
  HostHealthEvent,
  HostHealthOptions,
  HostHealthReport,
} from './types.js';
import { detectIsolation } from './isolation-detection.js';
import { TrackedHost } from './tracked-host.js';

/** A heartbeat is late after this share of `suspectAfter`: well beyond one interval plus the forwarding by a follower. */
const lateHeartbeatShare = 0.75;
/** Penalty for a late heartbeat, as a fraction of that for a failure: a slow host is quarantined after several. */
const lateHeartbeatPenalty = 0.25;

/** Tracks the availability of all hosts by their reports; runs on the leading control host. */
export class HostHealth implements Controller<HostHealthEvent, HostHealthEffect> {
  readonly #options: HostHealthOptions;
  readonly #hosts = new Map<HostName, TrackedHost>();
  readonly #returns: ReturnEstimator;
  #quarantineScale = 1;
  #isIsolationSuspected = false;
  /** When this control host began to suspect that it is isolated; undefined while it does not. */
  #isolationSuspectedAt: Milliseconds | undefined;
  /** When this control host was last paused or possibly isolated, so that silences until then prove nothing about hosts. */
  #lastUnreliableAt: Milliseconds = -Infinity;
  #lastEventAt: Milliseconds = Infinity;

  constructor(options: HostHealthOptions, policy: Policy) {
    this.#options = options;
    this.#returns = new ReturnEstimator(
      options.restartDuration,
      options.outageDuration,
      options.restartShare,
    );
    this.#quarantineScale = computeQuarantineScale(policy);
  }

  /** Whether to ignore host losses now, because this control host itself may be isolated from the network. */
  get isIsolationSuspected(): boolean {
    return this.#isIsolationSuspected;
  }

  /** Availability of a host for placement; a host that never reported is gone. */
  availabilityOf(name: HostName, now: Milliseconds): HostAvailability {
    const host = this.#hosts.get(name);
    return host === undefined ? { type: 'gone' } : this.#availability(host, now);
  }

  /** Whether the host reports, regardless of the health of its upstream and of a quarantine. */
  isHeard(name: HostName, now: Milliseconds): boolean {
    const host = this.#hosts.get(name);
    return host !== undefined && !host.hasLeft && !host.isSilent(now);
  }

  handle(event: HostHealthEvent): readonly HostHealthEffect[] {
    this.#detectPause(event.now);
    switch (event.type) {
      case 'reported':
        return this.#recordReport(event.report, event.via, event.now);
      case 'connectionClosed':
        this.#hosts.get(event.host)?.recordConnectionClosed(event.now);
        return this.#review(event.now);
      case 'missed':
        return this.#recordMissing(event.host, event.now);
      case 'ticked':
        return this.#review(event.now);
      case 'leadershipTaken':
        return this.#resetSilences(event.now);
      case 'policyChanged':
        this.#quarantineScale = computeQuarantineScale(event.policy);
        return [];
      default:
        return assertNever(event);
    }
  }

  #recordMissing(name: HostName, now: Milliseconds): readonly HostHealthEffect[] {
    const host = this.#hosts.get(name);
    if (host === undefined) {
      return [];
    }
    host.recordMissing();
    return this.#reviewHost(host, now);
  }

  /** After a pause of this process all hosts seem late, which says nothing about the hosts. */
  #detectPause(now: Milliseconds): void {
    if (now - this.#lastEventAt > this.#options.suspectAfter / 2) {
      this.#lastUnreliableAt = now;
    }
    this.#lastEventAt = now;
  }

  #recordReport(
    report: HostHealthReport,
    via: string,
    now: Milliseconds,
  ): readonly HostHealthEffect[] {
    const known = this.#hosts.get(report.host);
    const host = known ?? new TrackedHost(report, this.#options, now);
    this.#hosts.set(report.host, host);
    const wasSilent = host.isSilent(now);
    if (known !== undefined) {
      this.#addPenalties(host, report, now);
    }
    if (host.recordReport(report, via, now) === 'recovered') {
      host.addPenalty(now, 1, this.#quarantineScale);
    }
    // A heartbeat does not affect the other hosts; reviewing all of them for each would be quadratic in their number every second.
    if (wasSilent || this.#isIsolationSuspected) {
      return this.#review(now);
    }
    return this.#reviewHost(host, now);
  }

  /** Adds a full penalty for a return after an unplanned silence or a restart without notice, and a fraction for a late heartbeat. */
  #addPenalties(host: TrackedHost, report: HostHealthReport, now: Milliseconds): void {
    const isUnreliable =
      host.lastHeardAt <= this.#lastUnreliableAt || host.isBehindSuspectedRelay(now);
    if (host.hasLeft || isUnreliable) {
      return;
    }
    const silence = now - host.lastHeardAt;
    const hasRestarted = host.incarnation !== report.incarnation;
    if (host.isSilent(now) || hasRestarted) {
      this.#returns.recordReturn(silence);
      host.addPenalty(now, 1, this.#quarantineScale);
      return;
    }
    if (silence > this.#options.suspectAfter * lateHeartbeatShare) {
      host.addPenalty(now, lateHeartbeatPenalty, this.#quarantineScale);
    }
  }

  /** Reviews all hosts and returns what changed. */
  #review(now: Milliseconds): readonly HostHealthEffect[] {
    const observations = [...this.#hosts.values()]
      .filter((host) => !host.hasLeft && host.reviewedStatus !== 'gone')
      .map((host) => host.observe(now));
    const { isIsolationSuspected, suspectedRelays } = detectIsolation(observations);
    const effects: HostHealthEffect[] = [
      ...this.#updateIsolationSuspicion(isIsolationSuspected, now),
    ];
    for (const host of this.#hosts.values()) {
      host.recordRelaySuspicion(suspectedRelays.has(host.relay), now);
      effects.push(...this.#reviewHost(host, now));
    }
    return [...effects, { type: 'wake', at: this.#nextReview(now) }];
  }

  /** Isolation is suspected until its cause ends, or until `isolationGrace` has passed: then the hosts must be taken as lost. */
  #updateIsolationSuspicion(isSuspicious: boolean, now: Milliseconds): readonly HostHealthEffect[] {
    this.#isolationSuspectedAt = isSuspicious ? (this.#isolationSuspectedAt ?? now) : undefined;
    this.#lastUnreliableAt = isSuspicious ? now : this.#lastUnreliableAt;
    const since = this.#isolationSuspectedAt;
    const isSuspected = since !== undefined && now < since + this.#options.isolationGrace;
    if (isSuspected === this.#isIsolationSuspected) {
      return [];
    }
    this.#isIsolationSuspected = isSuspected;
    return [{ type: 'isolationSuspicionChanged', isSuspected }];
  }

  #reviewHost(host: TrackedHost, now: Milliseconds): readonly HostHealthEffect[] {
    const status = this.#availability(host, now).type;
    if (status === host.reviewedStatus) {
      return [];
    }
    host.reviewedStatus = status;
    return [{ type: 'statusChanged', host: host.name, status }];
  }

  #availability(host: TrackedHost, now: Milliseconds): HostAvailability {
    if (host.hasLeft) {
      return { type: 'gone' };
    }
    const away = host.unavailableFor(now);
    if (away === undefined) {
      const remaining = host.quarantineRemaining(now);
      return remaining > 0
        ? { type: 'quarantined', expectedReturn: remaining }
        : { type: 'present' };
    }
    if (this.#isIsolationSuspected || host.isBehindSuspectedRelay(now)) {
      return { type: 'suspected', expectedReturn: 0 };
    }
    if (away >= this.#options.goneAfter) {
      return { type: 'gone' };
    }
    return { type: 'suspected', expectedReturn: this.#returns.estimateReturn(away) };
  }

  #nextReview(now: Milliseconds): Milliseconds {
    const { isolationGrace } = this.#options;
    const suspicionEnd = this.#isIsolationSuspected
      ? (this.#isolationSuspectedAt ?? now) + isolationGrace
      : Infinity;
    const changes = [...this.#hosts.values()].map((host) => host.nextChange(now));
    return Math.min(suspicionEnd, ...changes);
  }

  /** A new leader has not received any report yet, so hosts get the full `suspectAfter` before they are suspected. */
  #resetSilences(now: Milliseconds): readonly HostHealthEffect[] {
    for (const host of this.#hosts.values()) {
      host.resetSilence(now);
    }
    return this.#review(now);
  }
}
