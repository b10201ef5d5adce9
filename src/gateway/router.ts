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
import type { LoadBook } from './load-book.js';
import type { AttemptTarget } from './messages.js';
import { isOffered, isReachable, type Wanted } from './reach.js';
import { rankByRendezvous, type WeightedCandidate } from './rendezvous.js';

/** What routing needs to know of a request. */
export interface RouteQuestion {
  readonly wanted: Wanted;
  readonly account: AccountName;
  /** Model, adapter and prompt prefix: requests with the same one find a warm cache at the same group. */
  readonly affinityKey: string;
}

/** Where the next attempt goes, or why there is none. */
export type RouteVerdict =
  | { readonly type: 'target'; readonly target: AttemptTarget; readonly revision: Revision }
  | { readonly type: 'none'; readonly code: ResultCodeName };

/** Affinity holds while the preferred group is below this load, whatever the others have. */
const alwaysAllowedLoad = 0.5;
/** Affinity holds while the preferred group is below this many times the mean load. */
const loadBound = 1.25;

/**
 * Chooses a group for each attempt: affinity by rendezvous hashing, bounded by load, then the better of two.
 */
export class Router {
  readonly #readState: () => WatchedState;
  readonly #loads: LoadBook;

  constructor(readState: () => WatchedState, loads: LoadBook) {
    this.#readState = readState;
    this.#loads = loads;
  }

  /** Revision of the configuration that choices are made under. */
  get revision(): Revision {
    return this.#readState().revision;
  }

  /** Chooses a group that was not tried for this request yet. */
  choose(question: RouteQuestion, tried: ReadonlySet<GroupName>, now: Milliseconds): RouteVerdict {
    const state = this.#readState();
    const offering = [...state.groups.values()].filter(({ group }) =>
      isOffered(group.offer, question.wanted),
    );
    const account = state.configuration.accounts.find(({ name }) => name === question.account);
    const refusal = findRefusal(state, question, offering, account);
    if (refusal !== undefined) {
      return { type: 'none', code: refusal };
    }
    const serving = offering.filter(
      (watched) =>
        isUsable(watched) &&
        account !== undefined &&
        isReachable(watched.group, account, state.configuration),
    );
    const untried = serving.filter(({ group }) => !tried.has(group.name));
    const chosen = this.#pick(question.affinityKey, this.#preferHealthy(untried, now), now);
    if (chosen === undefined) {
      return { type: 'none', code: serving.length > 0 ? 'overloaded' : 'noServingGroup' };
    }
    return { type: 'target', target: toTarget(chosen), revision: state.revision };
  }

  /** Groups that answer; all of them when none does, since a try costs less than a certain failure. */
  #preferHealthy(groups: readonly WatchedGroup[], now: Milliseconds): readonly WatchedGroup[] {
    const healthy = groups.filter(({ group }) => !this.#loads.isAvoided(group.name, now));
    return healthy.length > 0 ? healthy : groups;
  }

  #pick(key: string, groups: readonly WatchedGroup[], now: Milliseconds): WatchedGroup | undefined {
    const weights = this.#loads.findWeights(groups.map(({ group }) => group.name));
    const candidates = groups.map((watched): RankedGroup => {
      const { name } = watched.group;
      const weight = weights.get(name) ?? 1;
      return { name, weight, watched, load: this.#loads.estimateLoad(name, now) };
    });
    const [first, second, third] = rankByRendezvous(key, candidates);
    if (first === undefined || second === undefined) {
      return first?.watched;
    }
    if (first.load <= Math.max(alwaysAllowedLoad, loadBound * findMean(candidates))) {
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
  question: RouteQuestion,
  offering: readonly WatchedGroup[],
  account: Account | undefined,
): ResultCodeName | undefined {
  if (account === undefined) {
    return 'unknownAccount';
  }
  if (!isDeclared(state, question.wanted) && offering.length === 0) {
    return question.wanted.type === 'model' ? 'unknownModel' : 'unknownService';
  }
  const isForbidden =
    offering.length > 0 &&
    offering.every(({ group }) => !isReachable(group, account, state.configuration));
  return isForbidden ? 'notReachable' : undefined;
}

/** Whether the configuration asks for such groups, even when none is placed now. */
function isDeclared(state: WatchedState, wanted: Wanted): boolean {
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

function findMean(candidates: readonly RankedGroup[]): number {
  return candidates.reduce((sum, { load }) => sum + load, 0) / candidates.length;
}
