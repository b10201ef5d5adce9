import type { Milliseconds } from '../../common/index.js';
import type {
  GroupHealth,
  GroupName,
  HostFacts,
  HostName,
  Incarnation,
} from '../../model/index.js';
import { HoldBack } from './hold-back.js';
import type { HostHealthOptions, HostReport, HostStanding } from './types.js';
import type { Sighting } from './watcher-suspicion.js';

/** What a report changed. */
export interface ReportChanges {
  readonly hasNewFacts: boolean;
  /** The upstream had failed under a running sidecar and works again. */
  readonly hasRecovered: boolean;
  readonly health: readonly GroupHealth[];
}

/** What control has heard of one host. */
export class WatchedHost {
  readonly name: HostName;
  readonly #options: HostHealthOptions;
  readonly #holdBack: HoldBack;
  /** Where the host stood when it was last looked at. */
  reviewedStanding: HostStanding | undefined;
  #facts: HostFacts | undefined;
  #incarnation: Incarnation = '';
  #via = '';
  #hasLeft = false;
  #heardAt: Milliseconds;
  /** Known to be away since then although the silence is short: its connection closed. */
  #closedAt: Milliseconds | undefined;
  /** The last incarnation whose upstream worked. */
  #workedAs: Incarnation | undefined;
  /** Its upstream is not well since then. */
  #unwellAt: Milliseconds | undefined;
  #heldBackUntil: Milliseconds = -Infinity;
  #relaySuspectedAt: Milliseconds | undefined;
  #groups: ReadonlyMap<GroupName, GroupHealth> = new Map();

  constructor(name: HostName, options: HostHealthOptions, now: Milliseconds) {
    this.name = name;
    this.#options = options;
    this.#holdBack = new HoldBack(options);
    this.#heardAt = now;
  }

  get facts(): HostFacts | undefined {
    return this.#facts;
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

  get groups(): ReadonlyMap<GroupName, GroupHealth> {
    return this.#groups;
  }

  noteReport(report: HostReport, via: string, now: Milliseconds): ReportChanges {
    const before = this.#groups;
    this.#groups = new Map(report.groups.map((health) => [health.group, health]));
    this.#incarnation = report.incarnation;
    this.#via = via;
    this.#heardAt = now;
    this.#closedAt = undefined;
    this.#relaySuspectedAt = undefined;
    this.#hasLeft = report.isLeaving;
    const hasRecovered = report.facts !== undefined && this.#noteFacts(report.facts, now);
    const health = report.groups.filter((each) => !isSameHealth(each, before.get(each.group)));
    return { hasNewFacts: report.facts !== undefined, hasRecovered, health };
  }

  /** Returns whether the upstream recovered; its first start under a new sidecar is no recovery. */
  #noteFacts(facts: HostFacts, now: Milliseconds): boolean {
    const wasUnwell = this.#unwellAt !== undefined;
    const hadWorked = this.#workedAs === facts.incarnation;
    this.#facts = facts;
    if (!facts.isHealthy) {
      this.#unwellAt ??= now;
      return false;
    }
    this.#unwellAt = undefined;
    this.#workedAs = facts.incarnation;
    return wasUnwell && hadWorked;
  }

  noteSilent(now: Milliseconds): void {
    this.#closedAt ??= now;
  }

  isSilent(now: Milliseconds): boolean {
    return this.#closedAt !== undefined || now >= this.#heardAt + this.#options.suspectAfter;
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

  isHeldBack(now: Milliseconds): boolean {
    return now < this.#heldBackUntil;
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
  }

  sight(now: Milliseconds): Sighting {
    const facts = this.#facts;
    const failureDomain = `${facts?.region ?? ''}/${facts?.failureDomain ?? ''}`;
    return { failureDomain, via: this.#via, isSilent: this.isSilent(now) };
  }

  /** When its standing may change without being heard of; infinite when it will not. */
  nextChange(now: Milliseconds): Milliseconds {
    const { suspectAfter, goneAfter, watcherGrace } = this.#options;
    if (this.#hasLeft) {
      return Infinity;
    }
    const away = this.awayFor(now);
    const moments = [
      this.#heardAt + suspectAfter,
      this.#heldBackUntil,
      (this.#relaySuspectedAt ?? Infinity) + watcherGrace,
      away === undefined ? Infinity : now + (goneAfter - away),
      // The expectation of its return grows while it is away: placement looks again.
      away === undefined ? Infinity : now + Math.max(suspectAfter, away / 2),
    ];
    return Math.min(...moments.filter((moment) => moment > now));
  }
}

function isSameHealth(left: GroupHealth, right: GroupHealth | undefined): boolean {
  if (right === undefined) {
    return false;
  }
  return (
    left.fencingNumber === right.fencingNumber &&
    left.isServing === right.isServing &&
    left.isDrained === right.isDrained &&
    left.missing.join() === right.missing.join()
  );
}
