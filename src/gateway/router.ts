import type { Milliseconds, ResultCodeName } from '../common/index.js';
import {
  findLead,
  type Account,
  type AccountName,
  type GroupName,
  type Revision,
  type WatchedGroup,
  type WatchedState,
} from '../model/index.js';
import type { LoadTracker } from './load-tracker.js';
import type { AttemptTarget } from './messages.js';
import { isOffered, isReachable, type RequestedOffer } from './reach.js';
import { rankByRendezvous, type WeightedCandidate } from './rendezvous.js';

/** The properties of a request that routing depends on. */
export interface RouteQuery {
  readonly wanted: RequestedOffer;
  readonly account: AccountName;
  /** Model, adapter and prompt prefix. Requests with equal keys prefer the same group, whose cache is warm. */
  readonly affinityKey: string;
}

/** The target of the next attempt, or the reason why there is none. */
export type RouteDecision =
  | { readonly type: 'target'; readonly target: AttemptTarget; readonly revision: Revision }
  | { readonly type: 'none'; readonly code: ResultCodeName };

/** Up to this load the preferred group is used whatever the load of the others. */
const affinityLoadFloor = 0.5;
/** Up to this multiple of the mean load the preferred group is used. */
const affinityLoadFactor = 1.25;

/**
 * Chooses a group for each attempt: rendezvous hashing for affinity, with bounded load.
 * When the preferred group is over the bound, the less loaded of the next two is used if its load is lower.
 */
export class Router {
  readonly #readState: () => WatchedState;
  readonly #loads: LoadTracker;

  constructor(readState: () => WatchedState, loads: LoadTracker) {
    this.#readState = readState;
    this.#loads = loads;
  }

  /** Revision of the configuration that decisions are based on. */
  get revision(): Revision {
    return this.#readState().revision;
  }

  /** Chooses a group that has not been tried for this request yet. */
  choose(query: RouteQuery, tried: ReadonlySet<GroupName>, now: Milliseconds): RouteDecision {
    const state = this.#readState();
    const offeringGroups = [...state.groups.values()].filter(({ group }) =>
      isOffered(group.offer, query.wanted),
    );
    const account = state.configuration.accounts.find(({ name }) => name === query.account);
    const refusal = findRefusal(state, query, offeringGroups, account);
    if (refusal !== undefined) {
      return { type: 'none', code: refusal };
    }
    const serving = offeringGroups.filter(
      (watched) =>
        isUsable(watched) &&
        account !== undefined &&
        isReachable(watched.group, account, state.configuration),
    );
    const untried = serving.filter(({ group }) => !tried.has(group.name));
    const chosen = this.#pick(query.affinityKey, this.#preferHealthy(untried, now), now);
    if (chosen === undefined) {
      return { type: 'none', code: serving.length > 0 ? 'overloaded' : 'noServingGroup' };
    }
    return { type: 'target', target: toTarget(chosen), revision: state.revision };
  }

  /** Drops the avoided groups. Keeps all when every group is avoided: an attempt is better than a certain failure. */
  #preferHealthy(groups: readonly WatchedGroup[], now: Milliseconds): readonly WatchedGroup[] {
    const healthy = groups.filter(({ group }) => !this.#loads.isAvoided(group.name, now));
    return healthy.length > 0 ? healthy : groups;
  }

  #pick(key: string, groups: readonly WatchedGroup[], now: Milliseconds): WatchedGroup | undefined {
    const weights = this.#loads.computeWeights(groups.map(({ group }) => group.name));
    const candidates = groups.map((watched): RankedGroup => {
      const { name } = watched.group;
      const weight = weights.get(name) ?? 1;
      return { name, weight, watched, load: this.#loads.estimateLoad(name, now) };
    });
    const [first, second, third] = rankByRendezvous(key, candidates);
    if (first === undefined || second === undefined) {
      return first?.watched;
    }
    if (
      first.load <= Math.max(affinityLoadFloor, affinityLoadFactor * computeMeanLoad(candidates))
    ) {
      return first.watched;
    }
    const better = third !== undefined && third.load < second.load ? third : second;
    return better.load < first.load ? better.watched : first.watched;
  }
}

interface RankedGroup extends WeightedCandidate {
  readonly watched: WatchedGroup;
  readonly load: number;
}

function findRefusal(
  state: WatchedState,
  query: RouteQuery,
  offering: readonly WatchedGroup[],
  account: Account | undefined,
): ResultCodeName | undefined {
  if (account === undefined) {
    return 'unknownAccount';
  }
  if (!isDeclared(state, query.wanted) && offering.length === 0) {
    return query.wanted.type === 'model' ? 'unknownModel' : 'unknownService';
  }
  const isForbidden =
    offering.length > 0 &&
    offering.every(({ group }) => !isReachable(group, account, state.configuration));
  return isForbidden ? 'notReachable' : undefined;
}

/** Whether the configuration declares such groups, even when none is placed at the moment. */
function isDeclared(state: WatchedState, wanted: RequestedOffer): boolean {
  const { groups, services } = state.configuration;
  if (wanted.type === 'service') {
    return services.some(({ name }) => name === wanted.service);
  }
  return groups.some(({ carries }) => isOffered({ type: 'model', artifact: carries }, wanted));
}

function isUsable(watched: WatchedGroup): boolean {
  return watched.isServing && !watched.group.isDraining;
}

function toTarget(watched: WatchedGroup): AttemptTarget {
  const { name, fencingNumber } = watched.group;
  const { address, incarnation } = findLead(watched.group);
  return { group: name, fencingNumber, address, incarnation };
}

function computeMeanLoad(candidates: readonly RankedGroup[]): number {
  return candidates.reduce((sum, { load }) => sum + load, 0) / candidates.length;
}
