import type { Milliseconds, ResultCodeName } from '../common/index.js';
import type { FencingNumber, GroupName, HostName, Incarnation } from '../model/index.js';

/** A lead asks one member for its lease, or gives it back. */
export interface LeaseQuestion {
  /** Grows for each lead incarnation and member. */
  readonly sequence: number;
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly lead: HostName;
  readonly leadIncarnation: Incarnation;
  readonly member: HostName;
  readonly duration: Milliseconds;
  readonly isRelease: boolean;
}

/** A member's answer; names the question it answers. */
export interface LeaseAnswer {
  readonly sequence: number;
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly member: HostName;
  readonly memberIncarnation: Incarnation;
  readonly verdict:
    | { readonly type: 'granted'; readonly duration: Milliseconds; readonly isDraining: boolean }
    | { readonly type: 'refused'; readonly code: ResultCodeName }
    | { readonly type: 'released' };
}

/**
 * Share by which the clocks of two hosts may drift apart over one lease: the lead counts its lease this much shorter.
 * Stated bound: 2 parts in 100, far above what a monotonic clock does while it is disciplined.
 */
export const driftMargin = 0.02;
