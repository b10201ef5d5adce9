import type { Logger } from 'pino';

import type { Clock, Milliseconds } from '../../common/index.js';
import {
  findLead,
  type Group,
  type GroupHealth,
  type GroupName,
  type HostName,
  type Incarnation,
  type WatchedState,
} from '../../model/index.js';
import type { RpcClientPool } from '../../wire/index.js';
import { LeaseLeadDriver } from './lease-lead-driver.js';
import type { LeaseMemberDriver } from './lease-member-driver.js';

/** Leads the groups in the watched state whose first member is this host. */

/** Options of the group leader. */
export interface GroupLeaderOptions {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly member: LeaseMemberDriver;
  readonly onHealthChange: () => void;
}

export class GroupLeader {
  readonly #options: GroupLeaderOptions;
  readonly #drivers = new Map<GroupName, LeaseLeadDriver>();

  constructor(options: GroupLeaderOptions) {
    this.#options = options;
  }

  /** Starts, drains and dissolves groups to match the watched state. */
  reconcile(state: WatchedState): void {
    if (!state.isSynchronized) {
      return;
    }
    const duration = state.configuration.policy.leaseMilliseconds;
    const wanted = new Map(
      [...state.groups.values()]
        .map(({ group }) => group)
        .filter((group) => this.#isLedHere(group))
        .map((group): [GroupName, Group] => [group.name, group]),
    );
    for (const [name, driver] of this.#drivers) {
      if (wanted.get(name)?.fencingNumber !== driver.group.fencingNumber) {
        driver.dissolve();
        this.#drivers.delete(name);
      }
    }
    for (const group of wanted.values()) {
      this.#lead(group, duration);
    }
  }

  find(name: GroupName): LeaseLeadDriver | undefined {
    return this.#drivers.get(name);
  }

  list(): readonly LeaseLeadDriver[] {
    return [...this.#drivers.values()];
  }

  listHealth(): readonly GroupHealth[] {
    return this.list().map((driver) => driver.health());
  }

  /**
   * Releases the leases of drained groups, so that members that are shutting down need not wait for control to dissolve the groups.
   * Call it only right after counting the attempts in flight: an older count could miss one that was just admitted.
   */
  dissolveDrained(): void {
    for (const driver of this.#drivers.values()) {
      if (driver.isDraining && driver.health().isDrained) {
        driver.dissolve();
      }
    }
  }

  /** Releases all leases. */
  dissolveAll(): void {
    for (const driver of this.#drivers.values()) {
      driver.dissolve();
    }
    this.#drivers.clear();
  }

  /** Excludes placements for an earlier incarnation of this sidecar, because each of their attempts would be refused. */
  #isLedHere(group: Group): boolean {
    const lead = findLead(group);
    return lead.host === this.#options.host && lead.incarnation === this.#options.incarnation;
  }

  #lead(group: Group, duration: Milliseconds): void {
    const known = this.#drivers.get(group.name);
    const driver = known ?? this.#start(group, duration);
    if (group.isDraining && !driver.isDraining) {
      driver.requestDrain();
    }
  }

  #start(group: Group, duration: Milliseconds): LeaseLeadDriver {
    const { host, incarnation, clients, clock, logger, member, onHealthChange } = this.#options;
    const driver = new LeaseLeadDriver({
      group,
      host,
      incarnation,
      duration,
      clients,
      clock,
      logger,
      member,
      onHealthChange,
    });
    this.#drivers.set(group.name, driver);
    driver.start();
    return driver;
  }
}
