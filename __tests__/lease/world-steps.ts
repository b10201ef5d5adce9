import {
  LeaseLead,
  LeaseMember,
  type LeaseLeadOptions,
  type LeaseMemberOptions,
} from '../../src/lease/index.js';
import type { Group } from '../../src/model/index.js';

/** Steps of a history of leases, and the classes that it drives. */

export const duration = 1000;

/** Makes the classes under test; mutants come in here. */
export interface LeaseClasses {
  readonly createMember: (options: LeaseMemberOptions) => LeaseMember;
  readonly createLead: (options: LeaseLeadOptions) => LeaseLead;
}

export const realClasses: LeaseClasses = {
  createMember: (options) => new LeaseMember(options),
  createLead: (options) => new LeaseLead(options),
};

/** A step of a history. */
export type Step =
  | { readonly type: 'pass'; readonly milliseconds: number }
  | { readonly type: 'deliver' | 'double' | 'lose'; readonly index: number }
  | { readonly type: 'deliverAll' }
  | {
      readonly type: 'restart' | 'freeze' | 'thaw' | 'learn' | 'sicken' | 'cure' | 'drain' | 'cut';
      readonly host: number;
    }
  | { readonly type: 'place'; readonly members: readonly number[] };

/** A placement of the hosts with these numbers; the first leads. */
export function createGroup(fencingNumber: number, members: readonly number[]): Group {
  return {
    name: `assist/${fencingNumber}`,
    declaration: 'assist',
    fencingNumber,
    members: members.map((member) => ({
      host: String(member),
      address: `${member}`,
      incarnation: '',
    })),
    offer: { type: 'service', service: 'assist' },
    isDraining: false,
  };
}
