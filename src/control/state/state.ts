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

/** Operators' settings for one host; they take precedence over what the host announces. */
export interface HostOverride {
  /** A null removes the label. */
  readonly labels: Readonly<Record<string, string | null>>;
  readonly isDraining: boolean;
}

/** The answer to a change, kept so that a resent change gets the same one. */
export interface ChangeAnswer {
  readonly changeId: ChangeId;
  /** Digest of the change, to distinguish a resend from a reused id. */
  readonly fingerprint: string;
  /** Revision after the change; for a refused change, the revision at that time. */
  readonly revision: Revision;
  /** Undefined for an accepted change. */
  readonly failure: Failure | undefined;
  /** The accepted change that it conflicts with, for a revision conflict. */
  readonly winner: AcceptedChange | undefined;
  /** How the refused change would have altered the state, one line for each difference. */
  readonly differences: readonly string[];
  readonly at: WallTime;
}

/** An accepted change, as shown to operators whose own change conflicts with it. */
export interface AcceptedChange {
  readonly revision: Revision;
  readonly changeId: ChangeId;
  readonly operator: string;
  readonly at: WallTime;
  /** Summary of the differences in one line. */
  readonly summary: string;
}

/** Claim of an idempotency key by a request. */
export interface Claim {
  readonly account: AccountName;
  readonly key: string;
  readonly fingerprint: string;
  readonly requestId: RequestId;
  /** `notRun` frees the key for other requests; a late claim by the same request is refused. */
  readonly state: 'running' | 'ran' | 'unknown' | 'notRun';
  readonly at: WallTime;
}

/** State that the control hosts replicate. */
export interface ControlState {
  /** Log index of the last command applied. */
  readonly index: number;
  /** Log index of the last command that changed groups. */
  readonly groupsIndex: number;
  readonly revision: Revision;
  readonly configuration: Configuration;
  readonly overrides: ReadonlyMap<HostName, HostOverride>;
  readonly groups: ReadonlyMap<GroupName, Group>;
  /** Highest fencing number assigned so far. */
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

/** Result of a command, returned to its submitter. */
export type CommandAnswer =
  | { readonly type: 'changed'; readonly revision: Revision }
  | { readonly type: 'placed'; readonly groups: readonly Group[] }
  | { readonly type: 'claimed' }
  | { readonly type: 'settled' }
  /** The current version after the command, which may be higher than the command's. */
  | { readonly type: 'routed'; readonly version: number }
  | { readonly type: 'recorded' }
  | { readonly type: 'planned' }
  /** `isChanged`: false if the subject was not known. */
  | { readonly type: 'subjectReleased'; readonly isChanged: boolean }
  /** `isChanged`: false if the domain already was in the state that the order asks for. */
  | { readonly type: 'evacuationSet'; readonly isChanged: boolean }
  | {
      readonly type: 'refused';
      readonly failure: Failure;
      /** The accepted change that it conflicts with, for a revision conflict. */
      readonly winner: AcceptedChange | undefined;
      /** How the refused change would have altered the current state, one line for each difference. */
      readonly differences: readonly string[];
    };

/** State after a command, and the answer to it. */
export interface ApplyResult {
  readonly state: ControlState;
  readonly answer: CommandAnswer;
}
