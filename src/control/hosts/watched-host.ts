import type { Milliseconds } from '../../common/index.js';
import type { HostName, Incarnation } from '../../model/index.js';
import { HoldBack } from './hold-back.js';
import type { HostHealthOptions, HostSign, HostStanding } from './types.js';
import type { Sighting } from './watcher-suspicion.js';

/** What control has heard of one host. */
export class WatchedHost {
  readonly name: HostName;
  readonly #options: HostHealthOptions;
  readonly #holdBack: HoldBack;
  /** Where the host stood when it was last looked at. */
  reviewedStanding: HostStanding | undefined;
  #incarnation: Incarnation;
  #failureDomain = '';
  #via = '';
  #hasLeft = false;
  #heardAt: Milliseconds;
  /** The connection of its reports closed then, and it has not been heard since. */
  #closedAt: Milliseconds | undefined;
  /** Its lead has been missing it since it was heard last. */
  #isMissed = false;
  /** The last incarnation whose upstream worked. */
  #workedAs: Incarnation | undefined;
  /** Its upstream is not well since then. */
  #unwellAt: Milliseconds | undefined;
  #heldBackUntil: Milliseconds = -Infinity;
  #relaySuspectedAt: Milliseconds | undefined;

  constructor(sign: HostSign, options: HostHealthOptions, now: Milliseconds) {
    this.name = sign.host;
    this.#incarnation = sign.incarnation;
    this.#options = options;
    this.#holdBack = new HoldBack(options);
    this.#heardAt = now;
  }

  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  /** The control host its last report came in at. */
  get via(): string {
    return this.#via;
  }

  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  get heardAt(): Milliseconds {
    return this.#heardAt;
  }

  /** Returns `recovered` when the upstream had failed under this running sidecar; its first start is no recovery. */
  noteSign(sign: HostSign, via: string, now: Milliseconds): 'recovered' | 'unremarkable' {
    this.#incarnation = sign.incarnation;
    this.#failureDomain = `${sign.region}/${sign.failureDomain}`;
    this.#via = via;
    this.#heardAt = now;
    this.#closedAt = undefined;
    this.#isMissed = false;
    this.#relaySuspectedAt = undefined;
    this.#hasLeft = sign.isLeaving;
    if (!sign.isHealthy) {
      this.#unwellAt ??= now;
      return 'unremarkable';
    }
    const hasRecovered = this.#unwellAt !== undefined && this.#workedAs === sign.incarnation;
    this.#unwellAt = undefined;
    this.#workedAs = sign.incarnation;
    return hasRecovered ? 'recovered' : 'unremarkable';
  }

  noteClosed(now: Milliseconds): void {
    this.#closedAt ??= now;
  }

  noteMissed(): void {
    this.#isMissed = true;
  }

  /**
   * Whether the host is to be taken as silent.
   * A closed connection alone may be a host that turns to another control host; when its lead misses it too, it is not.
   */
  isSilent(now: Milliseconds): boolean {
    return now >= this.#silentFrom();
  }

  #silentFrom(): Milliseconds {
    const { suspectAfter, reconnectGrace } = this.#options;
    const byTime = this.#heardAt + suspectAfter;
    if (this.#closedAt === undefined) {
      return byTime;
    }
    const byClose = this.#closedAt + (this.#isMissed ? 0 : reconnectGrace);
    return Math.min(byTime, byClose);
  }

  /** How long the host has been unable to work; undefined when it can. */
  awayFor(now: Milliseconds): Milliseconds | undefined {
    if (this.isSilent(now)) {
      return now - (this.#closedAt ?? this.#heardAt);
    }
    return this.#unwellAt === undefined ? undefined : now - this.#unwellAt;
  }

  strike(now: Milliseconds, weight: number, scale: number): void {
    const duration = this.#holdBack.strike(now, weight, scale);
    this.#heldBackUntil = Math.max(this.#heldBackUntil, now + duration);
  }

  /** How much longer the host is held back; 0 when it is not. */
  heldBackFor(now: Milliseconds): Milliseconds {
    return Math.max(0, this.#heldBackUntil - now);
  }

  /** All hosts behind its control host went silent together. */
  noteRelay(isSuspected: boolean, now: Milliseconds): void {
    if (isSuspected) {
      this.#relaySuspectedAt ??= now;
    }
  }

  isBehindSuspectedRelay(now: Milliseconds): boolean {
    const since = this.#relaySuspectedAt;
    return since !== undefined && now < since + this.#options.watcherGrace;
  }

  /** Starts its silence anew. */
  excuse(now: Milliseconds): void {
    this.#heardAt = now;
    this.#closedAt = undefined;
    this.#isMissed = false;
  }

  sight(now: Milliseconds): Sighting {
    return { failureDomain: this.#failureDomain, via: this.#via, isSilent: this.isSilent(now) };
  }

  /** When its standing may change without being heard of; infinite when it will not. */
  nextChange(now: Milliseconds): Milliseconds {
    const { suspectAfter, goneAfter, watcherGrace } = this.#options;
    if (this.#hasLeft) {
      return Infinity;
    }
    const away = this.awayFor(now);
    const moments = [
      this.#silentFrom(),
      this.#heldBackUntil,
      (this.#relaySuspectedAt ?? Infinity) + watcherGrace,
      away === undefined ? Infinity : now + (goneAfter - away),
      // The expectation of its return grows while it is away: placement looks again.
      away === undefined ? Infinity : now + Math.max(suspectAfter, away / 2),
    ];
    return Math.min(...moments.filter((moment) => moment > now));
  }
}
