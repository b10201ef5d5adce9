import type { Failure, Milliseconds, ResultCodeName } from '../common/index.js';
import type {
  AccountName,
  Address,
  AttemptState,
  FencingNumber,
  GroupName,
  Incarnation,
  RequestId,
  Revision,
} from '../model/index.js';
import type { CrashSubjectKey } from '../routing/index.js';
import type { AttemptMessage, HeaderField } from '../sidecar/attempts/index.js';
import type { ClaimOutcome } from './claims.js';
import type { RouteQuery } from './router.js';

/** Properties of a caller's request after authentication and parsing. */
export interface RequestFacts {
  readonly id: RequestId;
  readonly account: AccountName;
  readonly accountWeight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isNonIdempotent: boolean;
  /** The caller's idempotency key, if it has to be claimed before anything runs. */
  readonly claim: { readonly key: string; readonly fingerprint: string } | undefined;
  /** Monotonic time by which the caller must get its final answer. */
  readonly deadline: Milliseconds;
  readonly route: RouteQuery;
  /** What the crash of an upstream that runs the request may be blamed on; absent for nothing. */
  readonly crashSubjects?: readonly CrashSubjectKey[];
}

/** The group that an attempt is sent to. */
export interface AttemptTarget {
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly address: Address;
  readonly incarnation: Incarnation;
}

/** Number of one stream (a Run or a Resume call) within a request; later ones are higher. */
export type StreamNumber = number;

/** Events of one request; `now` is monotonic time. */
export type RequestEvent =
  | { readonly type: 'arrived'; readonly now: Milliseconds }
  | {
      readonly type: 'claimAnswered';
      readonly now: Milliseconds;
      /** `ok` when the key was claimed. */
      readonly code: ResultCodeName;
      readonly retryAfter: Milliseconds | undefined;
    }
  | StreamEvent
  | {
      readonly type: 'askAnswered';
      readonly now: Milliseconds;
      readonly attempt: number;
      readonly state: AttemptState;
    }
  /** A query of the attempt state failed: connection refused, timeout, or error. */
  | { readonly type: 'askFailed'; readonly now: Milliseconds; readonly attempt: number }
  | { readonly type: 'callerGone'; readonly now: Milliseconds }
  /** Whether the caller reads too slowly; reading of the stream is paused meanwhile. */
  | { readonly type: 'callerSlow'; readonly now: Milliseconds; readonly isSlow: boolean }
  /** The process ends; there is no time to wait for more. */
  | { readonly type: 'shutDown'; readonly now: Milliseconds }
  | { readonly type: 'tick'; readonly now: Milliseconds };

/** Events of a Run or Resume stream. */
export type StreamEvent = {
  readonly now: Milliseconds;
  readonly stream: StreamNumber;
} & (
  | AttemptMessage
  /** The stream closed without an end message; `wasSent` is false when the request was never sent. */
  | { readonly type: 'closed'; readonly wasSent: boolean }
);

/** Effects that the shell executes for one request. */
export type RequestEffect =
  | { readonly type: 'claim' }
  | { readonly type: 'settle'; readonly outcome: ClaimOutcome }
  | {
      readonly type: 'run';
      readonly stream: StreamNumber;
      readonly attempt: number;
      readonly target: AttemptTarget;
      readonly configurationRevision: Revision;
      readonly remaining: Milliseconds;
    }
  | { readonly type: 'ask'; readonly attempt: number; readonly target: AttemptTarget }
  | {
      readonly type: 'resume';
      readonly stream: StreamNumber;
      readonly attempt: number;
      readonly target: AttemptTarget;
      readonly offset: number;
    }
  | { readonly type: 'cancel'; readonly attempt: number; readonly target: AttemptTarget }
  /** Stops reading the stream. */
  | { readonly type: 'dropStream'; readonly stream: StreamNumber }
  /** The connection of this stream went silent: new calls use a new connection. */
  | { readonly type: 'retireConnection'; readonly stream: StreamNumber }
  | { readonly type: 'noticeRevision'; readonly revision: Revision }
  | {
      readonly type: 'answerHead';
      readonly status: number;
      readonly headers: readonly HeaderField[];
      readonly isStream: boolean;
    }
  | { readonly type: 'answerBytes'; readonly bytes: Uint8Array }
  /** The answer is complete. */
  | { readonly type: 'answerEnd' }
  /** The final answer of a request without a complete one; `hasStarted` is true after the first bytes of a stream. */
  | { readonly type: 'answerFailure'; readonly failure: Failure; readonly hasStarted: boolean };
