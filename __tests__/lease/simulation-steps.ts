import {
  LeaseLead,
  LeaseMember,
  type LeaseLeadOptions,
  type LeaseMemberOptions,
} from '../../src/lease/index.js';
import type { Group } from '../../src/model/index.js';

/** Steps of a lease history, and the classes that it exercises. */

export const duration = 1000;

/** Factories of the classes under test, replaced to test mutants. */
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
  | { readonly type: 'deliver' | 'duplicate' | 'drop'; readonly index: number }
  | { readonly type: 'deliverAll' }
  | {
      readonly type:
        | 'restart'
        | 'freeze'
        | 'thaw'
        | 'updatePlacements'
        | 'fail'
        | 'recover'
        | 'drain'
        | 'disconnect';
      readonly host: number;
    }
  | { readonly type: 'place'; readonly members: readonly number[] };

/** Creates a placement of the hosts with these indices; the first is the lead. */
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
