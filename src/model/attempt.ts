import type { Milliseconds, ResultCodeName } from '../common/index.js';
import type { Load } from './group.js';
import type {
  AccountName,
  FencingNumber,
  GroupName,
  Incarnation,
  RequestId,
  Revision,
} from './identifiers.js';

/** Globally unique name of one attempt at a caller's request. */
export interface AttemptName {
  readonly requestId: RequestId;
  /** 1 for the first attempt. */
  readonly attempt: number;
  /** Incarnation of the sidecar that the attempt is addressed to. */
  readonly incarnation: Incarnation;
}

/** A gateway's order to a lead sidecar to run an attempt; the body is sent separately. */
export interface AttemptOrder {
  readonly name: AttemptName;
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly configurationRevision: Revision;
  readonly remaining: Milliseconds;
  readonly account: AccountName;
  readonly accountWeight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isNonIdempotent: boolean;
}

/** A refusal by a sidecar; it guarantees that the attempt was not run. */
export interface AttemptRefusal {
  readonly code: ResultCodeName;
  readonly load: Load;
  readonly retryAfter: Milliseconds;
  readonly configurationRevision: Revision;
}

/** The state of an attempt, as a sidecar reports it to a gateway. */
export type AttemptState =
  | { readonly type: 'neverSeen' }
  | { readonly type: 'refused'; readonly code: ResultCodeName }
  | { readonly type: 'running'; readonly firstOffset: number; readonly nextOffset: number }
  | {
      readonly type: 'ended';
      readonly firstOffset: number;
      readonly nextOffset: number;
      /** `ok` for a complete answer. */
      readonly code: ResultCodeName;
    }
  | { readonly type: 'otherIncarnation' };

/** Formats an attempt name as a map key. */
export function formatAttemptName(name: AttemptName): string {
  return `${name.requestId}/${name.attempt}`;
}
