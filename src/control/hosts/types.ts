import type { Milliseconds } from '../../common/index.js';
import type { HostName, Incarnation, Policy } from '../../model/index.js';

/** The part of a sidecar's report that host health uses. */
export interface HostHealthReport {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  readonly region: string;
  readonly failureDomain: string;
  /** Whether the upstream runs and is healthy. */
  readonly isHealthy: boolean;
  /** The host is leaving: its drain is complete and it holds no lease. */
  readonly isLeaving: boolean;
}

/** Input of host health; `now` is a reading of this control host's monotonic clock. */
export type HostHealthEvent =
  | {
      readonly type: 'reported';
      readonly now: Milliseconds;
      readonly report: HostHealthReport;
      /** The control host that received the report. */
      readonly via: string;
    }
  /** The reporting connection of a host closed: its process ended or the network broke. */
  | { readonly type: 'connectionClosed'; readonly now: Milliseconds; readonly host: HostName }
  /** The lead of the host's group reports that it holds no lease from the host. */
  | { readonly type: 'missed'; readonly now: Milliseconds; readonly host: HostName }
  | { readonly type: 'ticked'; readonly now: Milliseconds }
  /** This control host gained or lost leadership, so silences observed before are meaningless. */
  | { readonly type: 'leadershipTaken'; readonly now: Milliseconds }
  | { readonly type: 'policyChanged'; readonly now: Milliseconds; readonly policy: Policy };

/** Status of a host, for logs and reports. */
export type HostStatus = 'present' | 'suspected' | 'gone' | 'quarantined';

/** Effects that host health asks for. */
export type HostHealthEffect =
  | {
      /** Placement has to be reviewed. */
      readonly type: 'statusChanged';
      readonly host: HostName;
      readonly status: HostStatus;
    }
  | { readonly type: 'isolationSuspicionChanged'; readonly isSuspected: boolean }
  /** Replaces the timer that the last `wake` set. */
  | { readonly type: 'wake'; readonly at: Milliseconds };

/** Timeouts and parameters of host health. */
export interface HostHealthOptions {
  /** A host that has not reported for this long is silent. Sidecars send several heartbeats within it. */
  readonly suspectAfter: Milliseconds;
  /** A healthy host whose connection closed reports through another control host within this time. */
  readonly reconnectGrace: Milliseconds;
  /** A host that is silent or unhealthy for this long counts as gone. */
  readonly goneAfter: Milliseconds;
  /** How long the loss of many hosts is ignored because this control host itself may be isolated. */
  readonly isolationGrace: Milliseconds;
  /** Initial estimate of the duration of a restart, updated by measurement. */
  readonly restartDuration: Milliseconds;
  /** Mean time until a failed host returns. */
  readonly outageDuration: Milliseconds;
  /** Fraction of silences that are restarts. */
  readonly restartShare: number;
  /** Quarantine after the second silence in quick succession; doubles with each further one. */
  readonly firstQuarantine: Milliseconds;
  readonly maximumQuarantine: Milliseconds;
  /** Half-life of the penalty for flapping. */
  readonly penaltyHalfLife: Milliseconds;
}

const second = 1000;
const minute = 60 * second;

/** Defaults, designed for a deployment with 340 restarts and 14 failures a day. */
export const defaultHostHealthOptions: HostHealthOptions = {
  suspectAfter: 3 * second,
  reconnectGrace: 1.5 * second,
  goneAfter: 15 * minute,
  isolationGrace: 60 * second,
  restartDuration: 20 * second,
  outageDuration: 240 * minute,
  restartShare: 340 / 354,
  firstQuarantine: 30 * second,
  maximumQuarantine: 60 * minute,
  penaltyHalfLife: 60 * minute,
};
