import type { Milliseconds, RandomSource } from '../common/index.js';
import {
  formatIdentity,
  identityOf,
  isSameStart,
  type EngineGroup,
  type InstanceIdentity,
  type RoutedService,
} from '../routing/index.js';
import type { RoutingView } from '../watch/index.js';
import { splitByStanding, type Evacuations } from './evacuations.js';
import { GroupBounds } from './group-bounds.js';
import { choosePreferredTargets, countSharers, type GatewayPosition } from './head-subset.js';
import type { TargetLoads } from './target-loads.js';
import { UpstreamTimes, type Dispatch, type TimedRequest } from './upstream-times.js';
import type { UpstreamAvailability, UpstreamPermits } from './upstream-permission.js';

/** Chooses the upstream for a request; performs no I/O. */

/** An upstream to which a request can be sent. */
export interface Target {
  /** Name of the group, or identity of one start of an instance of a plain service. */
  readonly key: string;
  readonly service: string;
  /** Whether it is a group of engines; if not, it is an instance of a plain service. */
  readonly isGroup: boolean;
  readonly instance: InstanceIdentity;
  /** `ip:port`. */
  readonly address: string;
  /** Undefined if unknown. */
  readonly failureDomain: string | undefined;
  /** Requests that it processes concurrently; undefined if unknown. */
  readonly slots: number | undefined;
}

/** Properties of a request on which its time at an upstream depends. */
export interface RequestWork {
  readonly service: RoutedService;
  readonly model: string | undefined;
  /** Tokens to read; undefined if unknown. */
  readonly tokens?: number | undefined;
}

/** Properties of a request that restrict its targets. */
export interface TargetCriteria extends RequestWork {
  /** Keys of targets that have been tried. */
  readonly tried: ReadonlySet<string>;
  /** When its caller first asked, as far as known. */
  readonly startedAt?: Milliseconds;
  /** Longest time to the first event that is in time; undefined if there is none. */
  readonly objective?: Milliseconds | undefined;
  /** Whether a full target is better than none: the request has waited at another target, and full ones admit it first. */
  readonly isUrgent?: boolean;
}

/**
 * `full`: all possible targets are at their limits. `paused`: all possible targets have asked for pauses, and none is about to open; the
 * first pause ends at `until`. `evacuated`: every failure domain with upstreams of the service is evacuated. `none`: there is no possible
 * target.
 */
export type TargetChoice =
  | { readonly type: 'target'; readonly target: Target }
  | { readonly type: 'full' }
  | { readonly type: 'paused'; readonly until: Milliseconds }
  | { readonly type: 'evacuated' }
  | { readonly type: 'none' };

/**
 * Requests sent to a group of engines per slot. Any excess waits in the gateway, which sends the newest first. In the queue of an engine
 * it would wait a few tenths of a second, and every request would be late instead of some.
 */
const requestsPerEngineSlot = 1;
/** Instances of plain services complete a request in a few hundredths of a second, so one may queue behind each running one. */
const requestsPerInstanceSlot = 2;

/** Utilization that a cold upstream is ranked with in addition to its own. */
const coldUtilization = 0.25;

export interface TargetChooserOptions {
  readonly readView: () => RoutingView;
  readonly loads: TargetLoads;
  readonly availability: UpstreamAvailability;
  readonly permits: UpstreamPermits;
  /** Undefined where there are no evacuations. */
  readonly evacuations?: Evacuations;
  /** Position of this gateway; undefined while unknown, or if no other gateways share the targets. */
  readonly readPosition?: () => GatewayPosition | undefined;
  readonly random: RandomSource;
  /** Whether groups get only as much as still meets the objective of the request. */
  readonly limitsByObjective?: boolean;
}

export class TargetChooser {
  readonly #options: TargetChooserOptions;

  readonly #times: UpstreamTimes;
  readonly #bounds: GroupBounds;

  constructor(options: TargetChooserOptions) {
    this.#options = options;
    const { loads, random } = options;
    this.#times = new UpstreamTimes(loads);
    this.#bounds = new GroupBounds({ loads, random, times: this.#times });
  }

  /** Targets in a domain whose evacuation is about to take effect are chosen only if no other target can accept the request. */
  choose(criteria: TargetCriteria, now: Milliseconds): TargetChoice {
    const { evacuations } = this.#options;
    const { service, model } = criteria;
    const targets = this.listTargets(service, model);
    if (evacuations === undefined || evacuations.size === 0) {
      return this.#chooseAmong(targets, criteria, now);
    }
    const { open, closing } = splitByStanding(targets, evacuations, now);
    const choice = this.#chooseAmong(open, criteria, now);
    if (choice.type === 'target') {
      return choice;
    }
    if (closing.length === 0) {
      return open.length === 0 && this.#isWhollyEvacuated(service, now)
        ? { type: 'evacuated' }
        : choice;
    }
    const other = this.#chooseAmong(closing, criteria, now);
    return other.type === 'target' || choice.type === 'none' ? other : choice;
  }

  /** Whether no upstream of the service can get requests until an evacuation ends. Engines elsewhere may still form a group. */
  #isWhollyEvacuated(service: RoutedService, now: Milliseconds): boolean {
    const { readView, evacuations } = this.#options;
    const { instances, engineGroups } = readView();
    const domains = [
      ...[...instances.values()].filter((instance) => {
        return instance.service === service.name && !instance.isDraining;
      }),
      ...[...engineGroups.values()]
        .filter((group) => group.service === service.name)
        .flatMap(({ members }) => members),
    ].flatMap(({ failureDomain }) => failureDomain ?? []);
    return (
      domains.length > 0 &&
      domains.every((domain) => evacuations?.standingOf(domain, now) === 'evacuated')
    );
  }

  /**
   * Chooses the least loaded untried target with free capacity among those that this gateway prefers; ties are broken at random.
   * Other targets are used only if no preferred one is left. If gateways also used them when the preferred ones are full, their requests
   * would overload heads whose load they do not know.
   */
  #chooseAmong(
    targets: readonly Target[],
    criteria: TargetCriteria,
    now: Milliseconds,
  ): TargetChoice {
    const { service, model, tried, isUrgent = false } = criteria;
    const { loads, permits } = this.#options;
    const all = targets.filter((target) => {
      return (
        !tried.has(target.key) && !loads.isClosed(target, now) && this.isAvailable(target, now)
      );
    });
    if (all.length === 0) {
      return this.#describeAbsence(targets, { service, model, tried }, now);
    }
    const preferred = this.#findPreferred(service, targets);
    for (const { key, instance } of all) {
      if (preferred.has(key)) {
        permits.noteWanted(formatIdentity(instance));
      }
    }
    const permitted = all.filter(({ instance }) => permits.maySend(formatIdentity(instance), now));
    const trusted = permitted.filter((target) => !loads.isSuspected(target, now));
    const own = trusted.filter(({ key }) => preferred.has(key));
    const candidates = [own, trusted, permitted].find(({ length }) => length > 0) ?? [];
    const sharers = countSharers(targets.length, this.#options.readPosition?.());
    const withRoom = candidates.filter((target) => this.#hasRoom(target, criteria, sharers, now));
    const eligible = withRoom.length === 0 && isUrgent ? candidates : withRoom;
    const best = this.#findLeastLoaded(eligible, now);
    return best === undefined ? { type: 'full' } : { type: 'target', target: best };
  }

  /**
   * Records that the request was sent to the target, after `TargetLoads.noteSent`. Undefined if nothing is to be learned from it: groups are
   * then bounded by their slots alone.
   */
  noteSent(target: Target, request: RequestWork, now: Milliseconds): Dispatch | undefined {
    return this.#isBounded(target)
      ? this.#times.noteSent(target, describeWork(request), now)
      : undefined;
  }

  #isBounded({ isGroup }: Target): boolean {
    return isGroup && this.#options.limitsByObjective === true;
  }

  #hasRoom(target: Target, criteria: TargetCriteria, sharers: number, now: Milliseconds): boolean {
    if (this.#isBounded(target)) {
      const { objective, startedAt = now } = criteria;
      const request = { ...describeWork(criteria), objective, waited: now - startedAt };
      return this.#bounds.hasRoom(target, request, sharers, now);
    }
    const limit = target.isGroup ? requestsPerEngineSlot : requestsPerInstanceSlot;
    return this.#options.loads.hasCapacity(target, limit, now);
  }

  /** Without a target, tells whether only pauses are the reason. Groups that are about to open make the wait worthwhile. */
  #describeAbsence(
    targets: readonly Target[],
    { service, model, tried }: TargetCriteria,
    now: Milliseconds,
  ): TargetChoice {
    const { availability } = this.#options;
    const staying = targets.filter(({ instance }) => {
      return !availability.isLeaving(formatIdentity(instance));
    });
    const untried = staying.filter(({ key }) => !tried.has(key));
    const possible = untried.length > 0 ? untried : staying;
    const pauseEnds = possible.map((target) => this.#findPauseEnd(target, now));
    const until = Math.min(...pauseEnds.filter((end) => end !== undefined));
    const isPaused = pauseEnds.length > 0 && !pauseEnds.includes(undefined);
    return isPaused && !this.#isGroupOpening(service, model)
      ? { type: 'paused', until }
      : { type: 'none' };
  }

  /** Undefined if the target has asked for no pause, or is closed and may be opened again by control. */
  #findPauseEnd(target: Target, now: Milliseconds): Milliseconds | undefined {
    const { loads, availability } = this.#options;
    return loads.isClosed(target, now)
      ? undefined
      : availability.pausedUntil(formatIdentity(target.instance), now);
  }

  #isGroupOpening(service: RoutedService, model: string | undefined): boolean {
    return [...this.#options.readView().engineGroups.values()].some((group) => {
      const isWanted = group.service === service.name && group.model === model;
      return isWanted && (group.phase === 'joining' || group.phase === 'opening');
    });
  }

  #findLeastLoaded(targets: readonly Target[], now: Milliseconds): Target | undefined {
    const { random } = this.#options;
    const ranked = targets
      .map((target) => ({ target, use: this.#weigh(target, now), draw: random.fraction() }))
      .sort((one, other) => one.use - other.use || one.draw - other.draw);
    return ranked[0]?.target;
  }

  /** A cold upstream takes longer for the same work, so it ranks as if more of it were in use. */
  #weigh(target: Target, now: Milliseconds): number {
    const { loads, permits } = this.#options;
    const isCold = permits.isCold(formatIdentity(target.instance), now);
    return loads.utilization(target, now) + (isCold ? coldUtilization : 0);
  }

  /** All instances of a plain service are preferred: they are few, and complete requests too quickly to be overloaded by other gateways. */
  #findPreferred({ engine }: RoutedService, targets: readonly Target[]): ReadonlySet<string> {
    const keys = targets.map(({ key }) => key);
    return engine === undefined
      ? new Set(keys)
      : choosePreferredTargets(keys, this.#options.readPosition?.());
  }

  /** Whether the target still serves what it was chosen for; a draining one completes its requests. */
  isStillServing({ key, service, instance }: Target): boolean {
    const { engineGroups, instances } = this.#options.readView();
    const group = engineGroups.get(key);
    if (group !== undefined) {
      return group.phase === 'open' || group.phase === 'draining';
    }
    const known = instances.get(instance.id);
    return known?.service === service && isSameStart(known, instance);
  }

  /** Whether the upstream accepts requests from this gateway. */
  isAvailable({ instance, failureDomain }: Target, now: Milliseconds): boolean {
    const { availability, evacuations } = this.#options;
    return (
      availability.findUnavailability(formatIdentity(instance), now) === undefined &&
      evacuations?.standingOf(failureDomain, now) !== 'evacuated'
    );
  }

  listTargets(service: RoutedService, model: string | undefined): readonly Target[] {
    const { engineGroups, instances } = this.#options.readView();
    if (service.engine !== undefined) {
      const { slots } = service.engine;
      return [...engineGroups.values()]
        .filter((group) => group.service === service.name && group.model === model)
        .filter(({ phase }) => phase === 'open')
        .flatMap((group) => describeGroup(group, slots, instances) ?? []);
    }
    return [...instances.values()]
      .filter((instance) => instance.service === service.name && !instance.isDraining)
      .map((instance) => ({
        key: formatIdentity(instance),
        service: service.name,
        isGroup: false,
        instance: identityOf(instance),
        address: instance.address,
        failureDomain: instance.failureDomain,
        slots: undefined,
      }));
  }
}

function describeWork({ service, model, tokens }: RequestWork): TimedRequest {
  return { kind: `${service.name} ${model ?? ''}`, tokens: tokens ?? 0 };
}

function describeGroup(
  { name, service, members }: EngineGroup,
  slots: number,
  instances: RoutingView['instances'],
): Target | undefined {
  const head = members[0];
  if (head === undefined) {
    return undefined;
  }
  const { instance, address } = head;
  const failureDomain = head.failureDomain ?? instances.get(instance.id)?.failureDomain;
  return { key: name, service, isGroup: true, instance, address, failureDomain, slots };
}
