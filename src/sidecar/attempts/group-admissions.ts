import type { GroupName, Load } from '../../model/index.js';
import { AdmissionController, type AdmissionLimits } from './admission-controller.js';

/** The admission of each group that this sidecar has led; made when a group is first asked for. */
export class GroupAdmissions {
  readonly #limits: AdmissionLimits;
  readonly #byGroup = new Map<GroupName, AdmissionController>();

  constructor(limits: AdmissionLimits) {
    this.#limits = limits;
  }

  of(group: GroupName): AdmissionController {
    const known = this.#byGroup.get(group);
    if (known !== undefined) {
      return known;
    }
    const created = new AdmissionController(this.#limits);
    this.#byGroup.set(group, created);
    return created;
  }

  /** Load of the group's upstream, as told to gateways. */
  readLoad(group: GroupName): Load {
    return this.of(group).load;
  }

  [Symbol.iterator](): IterableIterator<[GroupName, AdmissionController]> {
    return this.#byGroup.entries();
  }
}
