import type { Milliseconds } from '../../common/index.js';
import type { FencingNumber, Group, GroupHealth, GroupName } from '../../model/index.js';

interface IncompletePlacement {
  readonly fencingNumber: FencingNumber;
  readonly since: Milliseconds;
}

/**
 * Tracks groups whose lead keeps missing members that report to control normally: a network partition between members,
 * which the reports of the hosts alone do not show.
 */
export class IncompleteGroupTracker {
  readonly #incomplete = new Map<GroupName, IncompletePlacement>();

  /** Records the health that a lead reports for its group. */
  record(health: GroupHealth, now: Milliseconds): void {
    if (health.missing.length === 0) {
      this.#incomplete.delete(health.group);
      return;
    }
    const { group, fencingNumber } = health;
    if (this.#incomplete.get(group)?.fencingNumber !== fencingNumber) {
      this.#incomplete.set(group, { fencingNumber, since: now });
    }
  }

  /** How long the lead has been missing members of this placement; 0 if none is missing. */
  incompleteFor(group: Group, now: Milliseconds): Milliseconds {
    const incomplete = this.#incomplete.get(group.name);
    return incomplete?.fencingNumber === group.fencingNumber ? now - incomplete.since : 0;
  }

  /** Drops groups that no longer exist. */
  keepOnly(groups: ReadonlyMap<GroupName, unknown>): void {
    for (const name of this.#incomplete.keys()) {
      if (!groups.has(name)) {
        this.#incomplete.delete(name);
      }
    }
  }
}
