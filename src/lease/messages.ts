import type { Milliseconds, ResultCodeName } from '../common/index.js';
import type { FencingNumber, GroupName, HostName, Incarnation } from '../model/index.js';

/** Sent by a lead to one member to acquire, renew or release its lease. */
export interface LeaseQuestion {
  /** Increases with each question of a lead incarnation to the member. */
  readonly sequence: number;
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly lead: HostName;
  readonly leadIncarnation: Incarnation;
  readonly member: HostName;
  readonly duration: Milliseconds;
  readonly isRelease: boolean;
}

/** A member's answer; `sequence` is that of the question it answers. */
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
 * Maximum relative drift between the clocks of two hosts; the lead shortens its leases by this share.
 * The stated bound of 2 % is far above the drift of a monotonic clock that is synchronized by a time service.
 */
export const driftMargin = 0.02;
