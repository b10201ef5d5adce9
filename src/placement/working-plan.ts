import type { GroupPlacement } from '../control/state/index.js';
import type {
  Artifact,
  DeclarationName,
  Group,
  GroupDeclaration,
  GroupMember,
  GroupName,
  HostName,
} from '../model/index.js';
import { fabricDomainOf, hasLoaded, isMeantFor, isReadyFor, isUsable } from './host-facts.js';
import type {
  LoadBudget,
  PlacementDecision,
  PlacementHost,
  PlacementInput,
  PlacementNote,
} from './types.js';

/** Mutable state of one placement decision: free hosts, groups placed and dissolved so far, and the remaining load budget. */
export class WorkingPlan {
  readonly input: PlacementInput;
  readonly hosts: ReadonlyMap<HostName, PlacementHost>;
  readonly #free = new Map<HostName, PlacementHost>();
  readonly #groups: Map<GroupName, Group>;
  readonly #placed = new Map<GroupName, GroupPlacement>();
  readonly #dissolved = new Set<GroupName>();
  readonly #notes: PlacementNote[] = [];
  readonly #loadsRunning: number;
  #loadsStarted = 0;

  constructor(input: PlacementInput) {
    this.input = input;
    this.hosts = new Map(input.hosts.map((host) => [host.facts.host, host]));
    this.#groups = new Map(input.groups.map(({ group }) => [group.name, group]));
    const taken = new Set<HostName>();
    let running = 0;
    for (const { group } of input.groups) {
      for (const member of group.members) {
        taken.add(member.host);
        const host = this.hosts.get(member.host);
        running += host !== undefined && isUsable(host) && !isReadyFor(host, group.offer) ? 1 : 0;
      }
    }
    this.#loadsRunning = running;
    for (const host of input.hosts) {
      if (isUsable(host) && !taken.has(host.facts.host)) {
        this.#free.set(host.facts.host, host);
      }
    }
  }

  /** Free hosts that may join a group of the declaration: those that have loaded its artifact first, then by name. */
  findSpares(declaration: GroupDeclaration): readonly PlacementHost[] {
    return [...this.#free.values()]
      .filter((host) => isMeantFor(host, declaration))
      .sort((left, right) => compareSpares(left, right, declaration.carries));
  }

  /** All free hosts, whatever declaration selects them. */
  listFreeHosts(): readonly PlacementHost[] {
    return [...this.#free.values()];
  }

  /** Whether the loads that a group needs may start now; a group that needs more than the limit may start when nothing else is loading. */
  hasLoadBudget(loads: number): boolean {
    const used = this.#loadsRunning + this.#loadsStarted;
    return (
      loads === 0 || used === 0 || used + loads <= this.input.configuration.policy.concurrentLoads
    );
  }

  /**
   * Creates or replaces a group; its members are no longer free, and its former members may be used elsewhere.
   * A group name that this decision dissolved is reported as dissolved as well. Otherwise the same hosts under the same
   * name would keep the fencing number of a placement whose lead has already released its leases.
   */
  place(placement: Omit<GroupPlacement, 'isDraining'>, members: readonly PlacementHost[]): void {
    for (const host of members) {
      this.#free.delete(host.facts.host);
      this.#loadsStarted += isReadyFor(host, placement.offer) ? 0 : 1;
    }
    this.#freeMembers(placement.name, new Set(members.map((host) => host.facts.host)));
    this.#placed.set(placement.name, { ...placement, isDraining: false });
  }

  /** Starts draining a group: it finishes its attempts and accepts no new ones. */
  drain(group: Group): void {
    const { name, declaration, members, offer } = group;
    this.#placed.set(name, { name, declaration, members, offer, isDraining: true });
    this.addNote({ type: 'draining', group: name });
  }

  /** Dissolves a group; its hosts are free again within this decision, because leases keep the old and new groups from overlapping. */
  dissolve(name: GroupName): void {
    this.#freeMembers(name, new Set());
    this.#dissolved.add(name);
    this.addNote({ type: 'dissolved', group: name });
  }

  isDissolved(name: GroupName): boolean {
    return this.#dissolved.has(name);
  }

  /** Whether this decision creates, replaces or drains the group. */
  isPlacedNow(name: GroupName): boolean {
    return this.#placed.has(name);
  }

  /** Number of groups of the declaration that this decision creates in addition to `present`. */
  countFormed(declaration: DeclarationName, present: ReadonlySet<GroupName>): number {
    return [...this.#placed.values()].filter(
      (placement) => placement.declaration === declaration && !present.has(placement.name),
    ).length;
  }

  addNote(note: PlacementNote): void {
    this.#notes.push(note);
  }

  /** Returns a group name with the lowest number not in use by the declaration. */
  nextGroupName(declaration: DeclarationName): GroupName {
    for (let number = 1; ; number += 1) {
      const name = `${declaration}/${number}`;
      const isKept = this.#groups.has(name) && !this.#dissolved.has(name);
      if (!isKept && !this.#placed.has(name)) {
        return name;
      }
    }
  }

  finish(): PlacementDecision {
    const loads: LoadBudget = {
      limit: this.input.configuration.policy.concurrentLoads,
      running: this.#loadsRunning,
      started: this.#loadsStarted,
    };
    const dissolve = [...this.#dissolved].sort();
    return { place: [...this.#placed.values()], dissolve, loads, notes: this.#notes };
  }

  #freeMembers(name: GroupName, except: ReadonlySet<HostName>): void {
    for (const member of this.#groups.get(name)?.members ?? []) {
      const host = this.hosts.get(member.host);
      if (host !== undefined && isUsable(host) && !except.has(member.host)) {
        this.#free.set(member.host, host);
      }
    }
  }
}

/** Groups hosts by fabric domain, keeping their order. */
export function groupByFabricDomain(
  hosts: readonly PlacementHost[],
): ReadonlyMap<string, readonly PlacementHost[]> {
  const domains = new Map<string, PlacementHost[]>();
  for (const host of hosts) {
    const domain = fabricDomainOf(host);
    domains.set(domain, [...(domains.get(domain) ?? []), host]);
  }
  return domains;
}

/** How many of the hosts would have to load the artifact. */
export function countLoads(hosts: readonly PlacementHost[], artifact: Artifact): number {
  return hosts.filter((host) => !hasLoaded(host, artifact)).length;
}

/** Converts a host to a member of a new placement. */
export function toMember({ facts }: PlacementHost): GroupMember {
  return { host: facts.host, address: facts.address, incarnation: facts.incarnation };
}

function compareSpares(left: PlacementHost, right: PlacementHost, artifact: Artifact): number {
  const loaded = Number(hasLoaded(right, artifact)) - Number(hasLoaded(left, artifact));
  return loaded === 0 ? compareNames(left.facts.host, right.facts.host) : loaded;
}

/** Compares by UTF-16 code units, so that the order is the same on every host, whatever its locale. */
export function compareNames(left: string, right: string): number {
  if (left === right) {
    return 0;
  }
  return left < right ? -1 : 1;
}
