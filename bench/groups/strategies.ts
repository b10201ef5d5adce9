import type { Milliseconds } from '../../src/common/index.js';
import { emptyConfiguration } from '../../src/configuration/index.js';
import {
  defaultHostHealthOptions,
  IncompleteGroupTracker,
  HostHealth,
  type HostHealthEvent,
} from '../../src/control/hosts/index.js';
import type { GroupPlacement } from '../../src/control/state/index.js';
import type {
  Artifact,
  Configuration,
  Group,
  GroupHealth,
  HostFacts,
  Policy,
} from '../../src/model/index.js';
import { planPlacement } from '../../src/placement/index.js';

/** Placements to compare: ours at given weights, and a naive one. */

export const artifact: Artifact = { model: 'assist', version: '1', adapters: [] };

/** What a strategy wants done. */
export interface Decision {
  readonly place: readonly GroupPlacement[];
  readonly dissolve: readonly string[];
}

/** Something that places groups from what it hears. */
export interface Strategy {
  /** A host was heard. */
  readonly hear: (facts: HostFacts, now: Milliseconds) => void;
  readonly noteClosed: (host: string, now: Milliseconds) => void;
  readonly noteHealth: (health: GroupHealth, now: Milliseconds) => void;
  /** Looks at silences; true when something may be decided anew. */
  readonly tick: (now: Milliseconds) => boolean;
  readonly decide: (groups: readonly Group[], now: Milliseconds) => Decision;
}

export interface StrategyOptions {
  readonly policy: Partial<Policy>;
  readonly replicaSize: number;
  readonly loadDuration: Milliseconds;
}

/** The project's own: host health, then placement. */
export class OwnStrategy implements Strategy {
  readonly #configuration: Configuration;
  readonly #health: HostHealth;
  readonly #watch = new IncompleteGroupTracker();
  readonly #facts = new Map<string, HostFacts>();
  readonly #groups = new Map<string, GroupHealth>();
  readonly #loadDuration: Milliseconds;
  #reviewAt: Milliseconds = 0;
  #wakeAt: Milliseconds = -Infinity;
  #hasChanged = false;

  constructor({ policy, replicaSize, loadDuration }: StrategyOptions) {
    this.#loadDuration = loadDuration;
    const declaration = {
      name: 'assist',
      hosts: {},
      replicaSize,
      replicas: undefined,
      carries: artifact,
      reachableBy: { accounts: {}, services: [] },
    };
    const merged = { ...emptyConfiguration.policy, ...policy };
    this.#configuration = { ...emptyConfiguration, groups: [declaration], policy: merged };
    this.#health = new HostHealth(defaultHostHealthOptions, merged);
  }

  hear(facts: HostFacts, now: Milliseconds): void {
    this.#facts.set(facts.host, facts);
    const { host, incarnation, region, failureDomain, isHealthy } = facts;
    const sign = { host, incarnation, region, failureDomain, isHealthy, isLeaving: false };
    this.#tell({ type: 'reported', now, report: sign, via: 'control' });
  }

  noteClosed(host: string, now: Milliseconds): void {
    this.#tell({ type: 'connectionClosed', now, host });
  }

  noteHealth(health: GroupHealth, now: Milliseconds): void {
    this.#groups.set(health.group, health);
    this.#watch.record(health, now);
    for (const host of health.missing) {
      this.#tell({ type: 'missed', now, host });
    }
  }

  tick(now: Milliseconds): boolean {
    const hadChanged = this.#hasChanged;
    this.#hasChanged = false;
    if (now >= this.#wakeAt) {
      this.#tell({ type: 'ticked', now });
    }
    const isDue = now >= this.#reviewAt;
    if (isDue) {
      this.#reviewAt = now + 15_000;
    }
    return isDue || hadChanged || this.#hasChanged;
  }

  decide(groups: readonly Group[], now: Milliseconds): Decision {
    return planPlacement({
      configuration: this.#configuration,
      hosts: [...this.#facts.values()].map((facts) => ({
        facts,
        availability: this.#health.availabilityOf(facts.host, now),
      })),
      groups: groups.map((group) => ({
        group,
        health: this.#groups.get(group.name),
        incompleteFor: this.#watch.incompleteFor(group, now),
      })),
      estimates: { loadDuration: this.#loadDuration, handover: 2000, hostUnavailability: 0.005 },
      isIsolationSuspected: this.#health.isIsolationSuspected,
    });
  }

  #tell(event: HostHealthEvent): void {
    for (const effect of this.#health.handle(event)) {
      if (effect.type === 'wake') {
        this.#wakeAt = effect.at;
      } else {
        this.#hasChanged = true;
      }
    }
  }
}

const naiveTimeout: Milliseconds = 3000;

/**
 * The naive one: a host silent for 3 s is gone, a group that lacks a member is dissolved, and free hosts of a fabric
 * domain form groups in the order of their names, whatever they have loaded and however often they come and go.
 */
export class NaiveStrategy implements Strategy {
  readonly #replicaSize: number;
  readonly #isAcross: boolean;
  readonly #heardAt = new Map<string, Milliseconds>();
  readonly #facts = new Map<string, HostFacts>();
  #present = '';

  constructor({ replicaSize, policy }: StrategyOptions) {
    this.#replicaSize = replicaSize;
    this.#isAcross = policy.allowAcrossFabricDomains === true;
  }

  hear(facts: HostFacts, now: Milliseconds): void {
    this.#facts.set(facts.host, facts);
    this.#heardAt.set(facts.host, now);
  }

  noteClosed(host: string): void {
    this.#heardAt.delete(host);
  }

  noteHealth(): void {
    // Looks at hosts only.
  }

  tick(now: Milliseconds): boolean {
    const present = [...this.#facts.keys()].filter((host) => this.#isPresent(host, now)).join();
    const hasChanged = present !== this.#present;
    this.#present = present;
    return hasChanged;
  }

  decide(groups: readonly Group[], now: Milliseconds): Decision {
    const broken = groups.filter((group) =>
      group.members.some((member) => !this.#isPresent(member.host, now)),
    );
    const whole = groups.filter((group) => !broken.includes(group));
    const taken = new Set(whole.flatMap((group) => group.members.map((member) => member.host)));
    const names = new Set(whole.map((group) => group.name));
    const free = [...this.#facts.values()]
      .filter(
        (facts) => this.#isPresent(facts.host, now) && facts.isHealthy && !taken.has(facts.host),
      )
      .sort((left, right) => (left.host < right.host ? -1 : 1));
    return { place: this.#formGroups(free, names), dissolve: broken.map((group) => group.name) };
  }

  #formGroups(free: readonly HostFacts[], names: Set<string>): readonly GroupPlacement[] {
    const within = this.#chunk(free, (facts) => facts.fabricDomain, names);
    if (!this.#isAcross) {
      return within;
    }
    const taken = new Set(within.flatMap(({ members }) => members.map((member) => member.host)));
    const left = free.filter((facts) => !taken.has(facts.host));
    return [...within, ...this.#chunk(left, (facts) => facts.region, names)];
  }

  #chunk(
    free: readonly HostFacts[],
    domainOf: (facts: HostFacts) => string,
    names: Set<string>,
  ): readonly GroupPlacement[] {
    const place: GroupPlacement[] = [];
    for (const domain of new Set(free.map(domainOf))) {
      const hosts = free.filter((facts) => domainOf(facts) === domain);
      for (let start = 0; start + this.#replicaSize <= hosts.length; start += this.#replicaSize) {
        place.push(createPlacement(hosts.slice(start, start + this.#replicaSize), names));
      }
    }
    return place;
  }

  #isPresent(host: string, now: Milliseconds): boolean {
    return now - (this.#heardAt.get(host) ?? -Infinity) < naiveTimeout;
  }
}

function createPlacement(members: readonly HostFacts[], names: Set<string>): GroupPlacement {
  let number = 1;
  while (names.has(`assist/${number}`)) {
    number += 1;
  }
  const name = `assist/${number}`;
  names.add(name);
  return {
    name,
    declaration: 'assist',
    members: members.map(({ host, address, incarnation }) => ({ host, address, incarnation })),
    offer: { type: 'model', artifact },
    isDraining: false,
  };
}
