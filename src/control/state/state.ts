import { emptyConfiguration } from '../../configuration/index.js';
import type {
  AccountName,
  ChangeId,
  Configuration,
  FencingNumber,
  Group,
  GroupName,
  HostName,
  RequestId,
  Revision,
} from '../../model/index.js';
import type { Failure, WallTime } from '../../common/index.js';
import { ClaimRegister } from './claim-register.js';
import { initialRoutingState, type RoutingState } from './routing-state.js';

/** What operators set on one host; goes before what the host says of itself. */
export interface HostOverride {
  /** A null takes the label away. */
  readonly labels: Readonly<Record<string, string | null>>;
  readonly isDraining: boolean;
}

/** The answer to a change, kept so that a resend gets the same one. */
export interface ChangeAnswer {
  readonly changeId: ChangeId;
  /** Digest of the change, to tell a resend from a reused id. */
  readonly fingerprint: string;
  /** Revision after the change; for a refused one, the present revision. */
  readonly revision: Revision;
  /** Undefined for an accepted change. */
  readonly failure: Failure | undefined;
  /** The change that won, for a conflict of revisions. */
  readonly winner: AcceptedChange | undefined;
  /** What the refused change would have made differ, one line each. */
  readonly differences: readonly string[];
  readonly at: WallTime;
}

/** An accepted change, as shown to operators who lost a race against it. */
export interface AcceptedChange {
  readonly revision: Revision;
  readonly changeId: ChangeId;
  readonly operator: string;
  readonly at: WallTime;
  /** One line: what changed. */
  readonly summary: string;
}

/** State of a caller's idempotency key. */
export interface Claim {
  readonly account: AccountName;
  readonly key: string;
  readonly fingerprint: string;
  readonly requestId: RequestId;
  /** `notRun` frees the key for other requests and refuses a late claim by the same one. */
  readonly state: 'running' | 'ran' | 'unknown' | 'notRun';
  readonly at: WallTime;
}

/** All that the control hosts replicate. */
export interface ControlState {
  /** Log index of the last command applied. */
  readonly index: number;
  /** Log index of the last command that changed groups. */
  readonly groupsIndex: number;
  readonly revision: Revision;
  readonly configuration: Configuration;
  readonly overrides: ReadonlyMap<HostName, HostOverride>;
  readonly groups: ReadonlyMap<GroupName, Group>;
  /** Highest fencing number given out. */
  readonly fencingNumber: FencingNumber;
  readonly claims: ClaimRegister;
  readonly answers: ReadonlyMap<ChangeId, ChangeAnswer>;
  readonly history: readonly AcceptedChange[];
  readonly routing: RoutingState;
}

/** State before the first command. */
export const initialControlState: ControlState = {
  index: 0,
  groupsIndex: 0,
  revision: 0,
  configuration: emptyConfiguration,
  overrides: new Map(),
  groups: new Map(),
  fencingNumber: 0,
  claims: ClaimRegister.empty,
  answers: new Map(),
  history: [],
  routing: initialRoutingState,
};

/** What a command did, told to whoever submitted it. */
export type CommandAnswer =
  | { readonly type: 'changed'; readonly revision: Revision }
  | { readonly type: 'placed'; readonly groups: readonly Group[] }
  | { readonly type: 'claimed' }
  | { readonly type: 'settled' }
  /** The version in force after the command, which may be a higher one than the command's. */
  | { readonly type: 'routed'; readonly version: number }
  | { readonly type: 'recorded' }
  | { readonly type: 'planned' }
  | {
      readonly type: 'refused';
      readonly failure: Failure;
      /** The change that won, for a conflict of revisions. */
      readonly winner: AcceptedChange | undefined;
      /** What the refused change would have made differ from the present state, one line each. */
      readonly differences: readonly string[];
    };

/** State after a command and the answer to it. */
export interface Applied {
  readonly state: ControlState;
  readonly answer: CommandAnswer;
}
