import type { Milliseconds } from '../../common/index.js';
import type { HostName, Incarnation, Policy } from '../../model/index.js';

/** What host health needs of a sidecar's report. */
export interface HostSign {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  readonly region: string;
  readonly failureDomain: string;
  /** Whether the upstream is there and well. */
  readonly isHealthy: boolean;
  /** The host says good-bye: its drain is over and it holds no lease. */
  readonly isLeaving: boolean;
}

/** What host health is told; `now` is a reading of this control host's monotonic clock. */
export type HostHealthEvent =
  | {
      readonly type: 'reported';
      readonly now: Milliseconds;
      readonly sign: HostSign;
      /** The control host that the report came in at. */
      readonly via: string;
    }
  /** The connection of a host's reports closed: its process ended, or something between the two did. */
  | { readonly type: 'connectionClosed'; readonly now: Milliseconds; readonly host: HostName }
  /** The lead of the host's group says that it holds no lease of it. */
  | { readonly type: 'missed'; readonly now: Milliseconds; readonly host: HostName }
  | { readonly type: 'ticked'; readonly now: Milliseconds }
  /** This control host took over or gave up the lead; what it knew of silences before says nothing. */
  | { readonly type: 'leadershipTaken'; readonly now: Milliseconds }
  | { readonly type: 'policyChanged'; readonly now: Milliseconds; readonly policy: Policy };

/** Where a host stands, for logs and reports. */
export type HostStanding = 'present' | 'suspected' | 'gone' | 'quarantined';

/** What host health wants done. */
export type HostHealthEffect =
  | {
      /** Placement is to be looked at again. */
      readonly type: 'standingChanged';
      readonly host: HostName;
      readonly standing: HostStanding;
    }
  | { readonly type: 'watcherSuspicionChanged'; readonly isSuspected: boolean }
  /** Replaces the timer of the last `wake`. */
  | { readonly type: 'wake'; readonly at: Milliseconds };

/** Times and shares that host health works with. */
export interface HostHealthOptions {
  /** A host heard from in this time is present. Sidecars send a heartbeat several times within it. */
  readonly suspectAfter: Milliseconds;
  /** A host whose connection closed reports through another control host within this time, if it is well. */
  readonly reconnectGrace: Milliseconds;
  /** A host silent for so long is not waited for any more. */
  readonly goneAfter: Milliseconds;
  /** How long a suspicion of this control host itself holds back the loss of many hosts. */
  readonly watcherGrace: Milliseconds;
  /** First guess of how long a restart takes; measured from then on. */
  readonly restartDuration: Milliseconds;
  /** How long a host that failed is away. */
  readonly outageDuration: Milliseconds;
  /** Share of silences that are restarts. */
  readonly restartShare: number;
  /** Hold-back of the second silence in quick succession; doubles with each. */
  readonly firstHoldBack: Milliseconds;
  readonly longestHoldBack: Milliseconds;
  /** A strike counts half after this time. */
  readonly strikeHalfLife: Milliseconds;
}

const second = 1000;
const minute = 60 * second;

/** Defaults: 340 restarts and 14 failures a day are the size this was designed for. */
export const defaultHostHealthOptions: HostHealthOptions = {
  suspectAfter: 3 * second,
  reconnectGrace: 1.5 * second,
  goneAfter: 15 * minute,
  watcherGrace: 60 * second,
  restartDuration: 20 * second,
  outageDuration: 240 * minute,
  restartShare: 340 / 354,
  firstHoldBack: 30 * second,
  longestHoldBack: 60 * minute,
  strikeHalfLife: 60 * minute,
};
