import type { Milliseconds } from '../../common/index.js';
import type { HostName, Incarnation } from '../../model/index.js';
import { FlapDamping } from './flap-damping.js';
import type { HostHealthOptions, HostHealthReport, HostStatus } from './types.js';
import type { HostObservation } from './isolation-detection.js';

/** State of one host as derived from its reports. */
export class TrackedHost {
  readonly name: HostName;
  readonly #options: HostHealthOptions;
  readonly #damping: FlapDamping;
  /** Status of the host at the last review. */
  reviewedStatus: HostStatus | undefined;
  #incarnation: Incarnation;
  #failureDomain = '';
  #relay = '';
  #hasLeft = false;
  #lastHeardAt: Milliseconds;
  /** When its reporting connection closed; undefined once it has reported again. */
  #connectionClosedAt: Milliseconds | undefined;
  /** Whether the lead of its group has reported it missing since its last report. */
  #isReportedMissing = false;
  /** The last incarnation whose upstream was healthy. */
  #lastHealthyIncarnation: Incarnation | undefined;
  /** Since when its upstream is unhealthy; undefined while it is healthy. */
  #unhealthySince: Milliseconds | undefined;
  #quarantinedUntil: Milliseconds = -Infinity;
  #relaySuspectedAt: Milliseconds | undefined;

  constructor(report: HostHealthReport, options: HostHealthOptions, now: Milliseconds) {
    this.name = report.host;
    this.#incarnation = report.incarnation;
    this.#options = options;
    this.#damping = new FlapDamping(options);
    this.#lastHeardAt = now;
  }

  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  /** The control host that received its last report. */
  get relay(): string {
    return this.#relay;
  }

  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  get lastHeardAt(): Milliseconds {
    return this.#lastHeardAt;
  }

  /** Returns `recovered` if the upstream had failed during this incarnation; its first start is not a recovery. */
  recordReport(
    report: HostHealthReport,
    via: string,
    now: Milliseconds,
  ): 'recovered' | 'unremarkable' {
    this.#incarnation = report.incarnation;
    this.#failureDomain = `${report.region}/${report.failureDomain}`;
    this.#relay = via;
    this.#lastHeardAt = now;
    this.#connectionClosedAt = undefined;
    this.#isReportedMissing = false;
    this.#relaySuspectedAt = undefined;
    this.#hasLeft = report.isLeaving;
    if (!report.isHealthy) {
      this.#unhealthySince ??= now;
      return 'unremarkable';
    }
    const hasRecovered =
      this.#unhealthySince !== undefined && this.#lastHealthyIncarnation === report.incarnation;
    this.#unhealthySince = undefined;
    this.#lastHealthyIncarnation = report.incarnation;
    return hasRecovered ? 'recovered' : 'unremarkable';
  }

  recordConnectionClosed(now: Milliseconds): void {
    this.#connectionClosedAt ??= now;
  }

  recordMissing(): void {
    this.#isReportedMissing = true;
  }

  /**
   * Whether the host counts as silent.
   * After its connection closed, the host may be reconnecting to another control host, unless the lead of its group misses it too.
   */
  isSilent(now: Milliseconds): boolean {
    return now >= this.#silentFrom();
  }

  #silentFrom(): Milliseconds {
    const { suspectAfter, reconnectGrace } = this.#options;
    const byTime = this.#lastHeardAt + suspectAfter;
    if (this.#connectionClosedAt === undefined) {
      return byTime;
    }
    const byClose = this.#connectionClosedAt + (this.#isReportedMissing ? 0 : reconnectGrace);
    return Math.min(byTime, byClose);
  }

  /** How long the host has been silent or unhealthy; undefined if it is available. */
  unavailableFor(now: Milliseconds): Milliseconds | undefined {
    if (this.isSilent(now)) {
      return now - (this.#connectionClosedAt ?? this.#lastHeardAt);
    }
    return this.#unhealthySince === undefined ? undefined : now - this.#unhealthySince;
  }

  addPenalty(now: Milliseconds, weight: number, scale: number): void {
    const duration = this.#damping.addPenalty(now, weight, scale);
    this.#quarantinedUntil = Math.max(this.#quarantinedUntil, now + duration);
  }

  /** How much longer the host stays quarantined; 0 if it is not. */
  quarantineRemaining(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#quarantinedUntil - now);
  }

  /** Records whether all hosts that report through the same control host are silent. */
  recordRelaySuspicion(isSuspected: boolean, now: Milliseconds): void {
    if (isSuspected) {
      this.#relaySuspectedAt ??= now;
    }
  }

  isBehindSuspectedRelay(now: Milliseconds): boolean {
    const since = this.#relaySuspectedAt;
    return since !== undefined && now < since + this.#options.isolationGrace;
  }

  /** Counts its silence from now. */
  resetSilence(now: Milliseconds): void {
    this.#lastHeardAt = now;
    this.#connectionClosedAt = undefined;
    this.#isReportedMissing = false;
  }

  observe(now: Milliseconds): HostObservation {
    return { failureDomain: this.#failureDomain, relay: this.#relay, isSilent: this.isSilent(now) };
  }

  /** When its status may change without a new report; infinite if it cannot. */
  nextChange(now: Milliseconds): Milliseconds {
    const { suspectAfter, goneAfter, isolationGrace } = this.#options;
    if (this.#hasLeft) {
      return Infinity;
    }
    const away = this.unavailableFor(now);
    const moments = [
      this.#silentFrom(),
      this.#quarantinedUntil,
      (this.#relaySuspectedAt ?? Infinity) + isolationGrace,
      away === undefined ? Infinity : now + (goneAfter - away),
      // The expected time until its return grows while it is unavailable, so placement has to be reviewed.
      away === undefined ? Infinity : now + Math.max(suspectAfter, away / 2),
    ];
    return Math.min(...moments.filter((moment) => moment > now));
  }
}
