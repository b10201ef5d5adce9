import type { Milliseconds } from '../../common/index.js';
import type { FencingNumber, Group, GroupHealth, GroupName } from '../../model/index.js';

interface Incomplete {
  readonly fencingNumber: FencingNumber;
  readonly since: Milliseconds;
}

/**
 * Notices groups whose lead keeps missing members that control hears well: a cut between members, which
 * neither side of it can see from the reports of hosts.
 */
export class GroupWatch {
  readonly #incomplete = new Map<GroupName, Incomplete>();

  /** Takes what a lead says of its group. */
  note(health: GroupHealth, now: Milliseconds): void {
    if (health.missing.length === 0) {
      this.#incomplete.delete(health.group);
      return;
    }
    const { group, fencingNumber } = health;
    if (this.#incomplete.get(group)?.fencingNumber !== fencingNumber) {
      this.#incomplete.set(group, { fencingNumber, since: now });
    }
  }

  /** How long the lead has been missing members of this placement; 0 while it misses none. */
  incompleteFor(group: Group, now: Milliseconds): Milliseconds {
    const incomplete = this.#incomplete.get(group.name);
    return incomplete?.fencingNumber === group.fencingNumber ? now - incomplete.since : 0;
  }

  /** Forgets groups that are no more. */
  keepOnly(groups: ReadonlyMap<GroupName, unknown>): void {
    for (const name of this.#incomplete.keys()) {
      if (!groups.has(name)) {
        this.#incomplete.delete(name);
      }
    }
  }
}
