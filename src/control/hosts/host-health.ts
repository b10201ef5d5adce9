import { assertNever, type Controller, type Milliseconds } from '../../common/index.js';
import {
  findLead,
  type Group,
  type GroupHealth,
  type HostFacts,
  type HostName,
  type Policy,
} from '../../model/index.js';
import type { HostAvailability } from '../../placement/index.js';
import { scaleHoldBack } from './hold-back.js';
import { ReturnEstimate } from './return-estimate.js';
import type { HostHealthEffect, HostHealthEvent, HostHealthOptions, HostReport } from './types.js';
import { judgeSilences } from './watcher-suspicion.js';
import { WatchedHost } from './watched-host.js';

/** Share of a strike for a heartbeat that came late: a straggler is held back after several. */
const lateStrike = 0.25;

/** A host with what control makes of it. */
export interface ObservedHost {
  readonly facts: HostFacts;
  readonly availability: HostAvailability;
}

/** Follows the hosts of a deployment by their reports; runs on the control host that leads. */
export class HostHealth implements Controller<HostHealthEvent, HostHealthEffect> {
  readonly #options: HostHealthOptions;
  readonly #hosts = new Map<HostName, WatchedHost>();
  readonly #returns: ReturnEstimate;
  #holdBackScale = 1;
  #isWatcherSuspected = false;
  /** When the suspicion of this control host itself began; undefined while there is none. */
  #watcherSuspectedAt: Milliseconds | undefined;

  constructor(options: HostHealthOptions, policy: Policy) {
    this.#options = options;
    this.#returns = new ReturnEstimate(
      options.restartDuration,
      options.outageDuration,
      options.restartShare,
    );
    this.#holdBackScale = scaleHoldBack(policy);
  }

  /** Whether losses are not to be acted upon now, because this control host may be the one that is cut off. */
  get isWatcherSuspected(): boolean {
    return this.#isWatcherSuspected;
  }

  /** All hosts that ever announced themselves, with what control makes of them. */
  observe(now: Milliseconds): readonly ObservedHost[] {
    return [...this.#hosts.values()].flatMap((host) =>
      host.facts === undefined
        ? []
        : [{ facts: host.facts, availability: this.#availability(host, now) }],
    );
  }

  /** The last word of a group's lead on this placement. */
  findGroupHealth(group: Group): GroupHealth | undefined {
    const health = this.#hosts.get(findLead(group).host)?.groups.get(group.name);
    return health?.fencingNumber === group.fencingNumber ? health : undefined;
  }

  handle(event: HostHealthEvent): readonly HostHealthEffect[] {
    switch (event.type) {
      case 'reported':
        return [
          ...this.#noteReport(event.report, event.via, event.now),
          ...this.#review(event.now),
        ];
      case 'connectionClosed':
        this.#hosts.get(event.host)?.noteSilent(event.now);
        return this.#review(event.now);
      case 'ticked':
        return this.#review(event.now);
      case 'leadershipTaken':
        return this.#forgetSilences(event.now);
      case 'policyChanged':
        this.#holdBackScale = scaleHoldBack(event.policy);
        return [];
      default:
        return assertNever(event);
    }
  }

  #noteReport(report: HostReport, via: string, now: Milliseconds): readonly HostHealthEffect[] {
    const known = this.#hosts.get(report.host);
    const host = known ?? new WatchedHost(report.host, this.#options, now);
    this.#hosts.set(report.host, host);
    const wasSilent = host.isSilent(now);
    if (known !== undefined) {
      this.#countStrikes(host, report, now);
    }
    const changes = host.noteReport(report, via, now);
    if (changes.hasRecovered) {
      host.strike(now, 1, this.#holdBackScale);
    }
    const effects: HostHealthEffect[] = changes.health.map((health) => ({
      type: 'groupHealthChanged',
      health,
    }));
    if (changes.hasNewFacts) {
      effects.push({ type: 'factsChanged', host: report.host });
    }
    // The other hosts need no new look for a heartbeat: that would cost their number squared each second.
    if (wasSilent || this.#isWatcherSuspected) {
      return [...effects, ...this.#review(now)];
    }
    return [...effects, ...this.#reviewHost(host, now)];
  }

  /** A return after an unplanned silence, or another start without a good-bye, is a strike; a late heartbeat a part of one. */
  #countStrikes(host: WatchedHost, report: HostReport, now: Milliseconds): void {
    if (host.hasLeft) {
      return;
    }
    const silence = now - host.heardAt;
    const hasRestarted = host.incarnation !== report.incarnation;
    if (host.isSilent(now) || hasRestarted) {
      this.#returns.noteReturn(silence);
      host.strike(now, 1, this.#holdBackScale);
      return;
    }
    if (silence > this.#options.suspectAfter / 2) {
      host.strike(now, lateStrike, this.#holdBackScale);
    }
  }

  /** Looks at all hosts again and tells what changed. */
  #review(now: Milliseconds): readonly HostHealthEffect[] {
    const sightings = [...this.#hosts.values()]
      .filter((host) => !host.hasLeft && host.reviewedStanding !== 'gone')
      .map((host) => host.sight(now));
    const { isWatcherSuspected, suspectedRelays } = judgeSilences(sightings);
    const effects: HostHealthEffect[] = [...this.#changeSuspicion(isWatcherSuspected, now)];
    for (const host of this.#hosts.values()) {
      host.noteRelay(suspectedRelays.has(host.via), now);
      effects.push(...this.#reviewHost(host, now));
    }
    return [...effects, { type: 'wake', at: this.#nextReview(now) }];
  }

  /** The suspicion of the watcher ends with its cause, or when it has lasted so long that the hosts must be taken as lost. */
  #changeSuspicion(isSuspicious: boolean, now: Milliseconds): readonly HostHealthEffect[] {
    this.#watcherSuspectedAt = isSuspicious ? (this.#watcherSuspectedAt ?? now) : undefined;
    const since = this.#watcherSuspectedAt;
    const isSuspected = since !== undefined && now < since + this.#options.watcherGrace;
    if (isSuspected === this.#isWatcherSuspected) {
      return [];
    }
    this.#isWatcherSuspected = isSuspected;
    return [{ type: 'watcherSuspicionChanged', isSuspected }];
  }

  #reviewHost(host: WatchedHost, now: Milliseconds): readonly HostHealthEffect[] {
    const standing = this.#availability(host, now).type;
    if (standing === host.reviewedStanding) {
      return [];
    }
    host.reviewedStanding = standing;
    return [{ type: 'standingChanged', host: host.name, standing }];
  }

  #availability(host: WatchedHost, now: Milliseconds): HostAvailability {
    if (host.hasLeft) {
      return { type: 'gone' };
    }
    const away = host.awayFor(now);
    if (away === undefined) {
      return host.isHeldBack(now) ? { type: 'quarantined' } : { type: 'present' };
    }
    if (this.#isWatcherSuspected || host.isBehindSuspectedRelay(now)) {
      return { type: 'suspected', expectedReturn: 0 };
    }
    if (away >= this.#options.goneAfter) {
      return { type: 'gone' };
    }
    return { type: 'suspected', expectedReturn: this.#returns.expectReturn(away) };
  }

  #nextReview(now: Milliseconds): Milliseconds {
    const { watcherGrace } = this.#options;
    const suspicionEnd = this.#isWatcherSuspected
      ? (this.#watcherSuspectedAt ?? now) + watcherGrace
      : Infinity;
    const changes = [...this.#hosts.values()].map((host) => host.nextChange(now));
    return Math.min(suspicionEnd, ...changes);
  }

  /** A new leader has heard nobody yet: hosts get one whole time of suspicion to be heard before they are suspected. */
  #forgetSilences(now: Milliseconds): readonly HostHealthEffect[] {
    for (const host of this.#hosts.values()) {
      host.excuse(now);
    }
    return this.#review(now);
  }
}
