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
import type { AttemptMessage, HeaderField } from '../sidecar/attempts/index.js';
import type { ClaimOutcome } from './claims.js';
import type { RouteQuestion } from './router.js';

/** What a gateway knows of a caller's request once it is authenticated and parsed. */
export interface RequestFacts {
  readonly id: RequestId;
  readonly account: AccountName;
  readonly accountWeight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isNonIdempotent: boolean;
  /** The caller's key, where it has to be claimed before anything runs. */
  readonly claim: { readonly key: string; readonly fingerprint: string } | undefined;
  /** Monotonic time by which the caller gets its final answer. */
  readonly deadline: Milliseconds;
  readonly route: RouteQuestion;
}

/** The group that an attempt goes to. */
export interface AttemptTarget {
  readonly group: GroupName;
  readonly fencingNumber: FencingNumber;
  readonly address: Address;
  readonly incarnation: Incarnation;
}

/** Number of one stream (a Run or a Resume call) within a request; later ones are higher. */
export type StreamNumber = number;

/** What happens to one request; `now` is a monotonic reading. */
export type RequestEvent =
  | { readonly type: 'arrived'; readonly now: Milliseconds }
  | {
      readonly type: 'claimAnswered';
      readonly now: Milliseconds;
      /** `ok` when the key is ours. */
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
  /** No answer came to a question: refused connection, timeout, or an error. */
  | { readonly type: 'askFailed'; readonly now: Milliseconds; readonly attempt: number }
  | { readonly type: 'callerGone'; readonly now: Milliseconds }
  /** The caller takes the answer too slowly, so that the stream is read no further for now. */
  | { readonly type: 'callerSlow'; readonly now: Milliseconds; readonly isSlow: boolean }
  | { readonly type: 'tick'; readonly now: Milliseconds };

/** What comes on a Run or Resume stream. */
export type StreamEvent = {
  readonly now: Milliseconds;
  readonly stream: StreamNumber;
} & (
  | AttemptMessage
  /** The stream is over without an end; `wasSent` is false when the request never left. */
  | { readonly type: 'closed'; readonly wasSent: boolean }
);

/** What the shell does for one request. */
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
  /** Nothing more is read from this stream. */
  | { readonly type: 'dropStream'; readonly stream: StreamNumber }
  /** The connection that carries this stream went silent: new calls take a new one. */
  | { readonly type: 'retireConnection'; readonly stream: StreamNumber }
  | { readonly type: 'noticeRevision'; readonly revision: Revision }
  | {
      readonly type: 'answerHead';
      readonly status: number;
      readonly headers: readonly HeaderField[];
      readonly isStream: boolean;
    }
  | { readonly type: 'answerBytes'; readonly bytes: Uint8Array }
  /** The answer is whole. */
  | { readonly type: 'answerEnd' }
  /** The one final answer when the request got no whole one; `hasStarted` after the first bytes of a stream. */
  | { readonly type: 'answerFailure'; readonly failure: Failure; readonly hasStarted: boolean };
