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

/** Names one attempt at a caller's request, everywhere and for good. */
export interface AttemptName {
  readonly requestId: RequestId;
  /** 1 for the first attempt. */
  readonly attempt: number;
  /** Incarnation of the sidecar that the attempt is meant for. */
  readonly incarnation: Incarnation;
}

/** What a gateway asks of a lead sidecar; the body travels beside it. */
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

/** A definite "not run" by a sidecar. */
export interface AttemptRefusal {
  readonly code: ResultCodeName;
  readonly load: Load;
  readonly retryAfter: Milliseconds;
  readonly configurationRevision: Revision;
}

/** What a sidecar knows of an attempt that a gateway asks after. */
export type AttemptState =
  | { readonly type: 'neverSeen' }
  | { readonly type: 'refused'; readonly code: ResultCodeName }
  | { readonly type: 'running'; readonly firstOffset: number; readonly nextOffset: number }
  | {
      readonly type: 'ended';
      readonly firstOffset: number;
      readonly nextOffset: number;
      /** `ok` for a whole answer. */
      readonly code: ResultCodeName;
    }
  | { readonly type: 'otherIncarnation' };

/** Key of an attempt in maps. */
export function formatAttemptName(name: AttemptName): string {
  return `${name.requestId}/${name.attempt}`;
}
