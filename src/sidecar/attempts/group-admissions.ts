import type { GroupName, Load } from '../../model/index.js';
import { AdmissionController, type AdmissionLimits } from './admission-controller.js';

/** Admission controllers of the groups that this sidecar has led, created on first use. */
export class GroupAdmissions {
  readonly #limits: AdmissionLimits;
  readonly #byGroup = new Map<GroupName, AdmissionController>();

  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  forGroup(group: GroupName): AdmissionController {
    const known = this.#byGroup.get(group);
    if (known !== undefined) {
      return known;
    }
    const created = new AdmissionController(this.#limits);
    this.#byGroup.set(group, created);
    return created;
  }

  /** Load of the group's upstream, as reported to gateways. */
  readLoad(group: GroupName): Load {
    return this.forGroup(group).load;
  }

  [Symbol.iterator](): IterableIterator<[GroupName, AdmissionController]> {
    return this.#byGroup.entries();
  }
}
