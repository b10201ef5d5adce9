import { assertNever, type Controller, type Milliseconds } from '../../common/index.js';
import type { HostName, Policy } from '../../model/index.js';
import type { HostAvailability } from '../../placement/index.js';
import { scaleHoldBack } from './hold-back.js';
import { ReturnEstimate } from './return-estimate.js';
import type { HostHealthEffect, HostHealthEvent, HostHealthOptions, HostSign } from './types.js';
import { judgeSilences } from './watcher-suspicion.js';
import { WatchedHost } from './watched-host.js';

/** Share of the time of suspicion from which on a heartbeat is late: well beyond one interval and its way through a follower. */
const lateShare = 0.75;
/** Share of a strike for a heartbeat that came late: a straggler is held back after several. */
const lateStrike = 0.25;

/** Follows the hosts of a deployment by their reports; runs on the control host that leads. */
export class HostHealth implements Controller<HostHealthEvent, HostHealthEffect> {
  readonly #options: HostHealthOptions;
  readonly #hosts = new Map<HostName, WatchedHost>();
  readonly #returns: ReturnEstimate;
  #holdBackScale = 1;
  #isWatcherSuspected = false;
  /** When the suspicion of this control host itself began; undefined while there is none. */
  #watcherSuspectedAt: Milliseconds | undefined;
  /** When this control host last had a reason to doubt its own hearing. */
  #doubtedAt: Milliseconds = -Infinity;
  #lastEventAt: Milliseconds = Infinity;

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

  /** What control makes of a host; one never heard of is gone. */
  availabilityOf(name: HostName, now: Milliseconds): HostAvailability {
    const host = this.#hosts.get(name);
    return host === undefined ? { type: 'gone' } : this.#availability(host, now);
  }

  /** Whether the host is there, whatever its upstream does and however it is held back. */
  isHeard(name: HostName, now: Milliseconds): boolean {
    const host = this.#hosts.get(name);
    return host !== undefined && !host.hasLeft && !host.isSilent(now);
  }

  handle(event: HostHealthEvent): readonly HostHealthEffect[] {
    this.#noticePause(event.now);
    switch (event.type) {
      case 'reported':
        return this.#noteSign(event.sign, event.via, event.now);
      case 'connectionClosed':
        this.#hosts.get(event.host)?.noteClosed(event.now);
        return this.#review(event.now);
      case 'missed':
        return this.#noteMissed(event.host, event.now);
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

  #noteMissed(name: HostName, now: Milliseconds): readonly HostHealthEffect[] {
    const host = this.#hosts.get(name);
    if (host === undefined) {
      return [];
    }
    host.noteMissed();
    return this.#reviewHost(host, now);
  }

  /** A control host that stood still finds everybody late; that says nothing of the hosts. */
  #noticePause(now: Milliseconds): void {
    if (now - this.#lastEventAt > this.#options.suspectAfter / 2) {
      this.#doubtedAt = now;
    }
    this.#lastEventAt = now;
  }

  #noteSign(sign: HostSign, via: string, now: Milliseconds): readonly HostHealthEffect[] {
    const known = this.#hosts.get(sign.host);
    const host = known ?? new WatchedHost(sign, this.#options, now);
    this.#hosts.set(sign.host, host);
    const wasSilent = host.isSilent(now);
    if (known !== undefined) {
      this.#countStrikes(host, sign, now);
    }
    if (host.noteSign(sign, via, now) === 'recovered') {
      host.strike(now, 1, this.#holdBackScale);
    }
    // The other hosts need no new look for a heartbeat: that would cost their number squared each second.
    if (wasSilent || this.#isWatcherSuspected) {
      return this.#review(now);
    }
    return this.#reviewHost(host, now);
  }

  /** A return after an unplanned silence, or another start without a good-bye, is a strike; a late heartbeat a part of one. */
  #countStrikes(host: WatchedHost, sign: HostSign, now: Milliseconds): void {
    const isDoubtful = host.heardAt <= this.#doubtedAt || host.isBehindSuspectedRelay(now);
    if (host.hasLeft || isDoubtful) {
      return;
    }
    const silence = now - host.heardAt;
    const hasRestarted = host.incarnation !== sign.incarnation;
    if (host.isSilent(now) || hasRestarted) {
      this.#returns.noteReturn(silence);
      host.strike(now, 1, this.#holdBackScale);
      return;
    }
    if (silence > this.#options.suspectAfter * lateShare) {
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
    this.#doubtedAt = isSuspicious ? now : this.#doubtedAt;
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
      const heldBack = host.heldBackFor(now);
      return heldBack > 0 ? { type: 'quarantined', expectedReturn: heldBack } : { type: 'present' };
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
