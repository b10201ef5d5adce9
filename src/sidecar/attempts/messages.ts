import type { Milliseconds, ResultCodeName, WallTime } from '../../common/index.js';
import type {
  AttemptName,
  AttemptOrder,
  AttemptRefusal,
  AttemptState,
  FencingNumber,
  GroupName,
  Load,
  Revision,
} from '../../model/index.js';

/** A header field of a request or an answer. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** What a sidecar tells a gateway of one attempt; the order on the wire is the order in which they arose. */
export type AttemptMessage =
  /** The attempt was handed to the upstream: from here on it may have run. */
  | { readonly type: 'accepted'; readonly load: Load }
  /** A definite "not run"; never follows `accepted`. */
  | { readonly type: 'refused'; readonly refusal: AttemptRefusal }
  | { readonly type: 'head'; readonly status: number; readonly headers: readonly HeaderField[] }
  | { readonly type: 'data'; readonly offset: number; readonly bytes: Uint8Array }
  | { readonly type: 'keepAlive'; readonly load: Load }
  /** `ok` for a whole answer; without this message an answer is never whole. */
  | {
      readonly type: 'ended';
      readonly totalBytes: number;
      readonly code: ResultCodeName;
      readonly retryAfter: Milliseconds;
    };

/** The caller's request as the upstream gets it. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Model, adapter and prompt prefix, for the engine's prefix cache; may be empty. */
  readonly affinityKey: string;
}

/** What the sidecar knows of a group at the moment of an event. */
export interface GroupFacts {
  readonly fencingNumber: FencingNumber;
  /** Every lease is held now. */
  readonly isWhole: boolean;
  readonly isDraining: boolean;
  /** Attempts that the upstream takes at a time. */
  readonly concurrency: number;
}

/** One connection's interest in the messages of an attempt; a number of the shell's own. */
export type SubscriberId = number;

/** Key of an attempt, as `formatAttemptName` gives it. */
export type AttemptKey = string;

/** What happens to the attempts of a sidecar; `now` is a monotonic reading. */
export type AttemptEvent =
  | {
      readonly type: 'arrived';
      readonly now: Milliseconds;
      readonly wallNow: WallTime;
      readonly subscriber: SubscriberId;
      readonly order: AttemptOrder;
      /** Undefined when this sidecar leads no such group. */
      readonly group: GroupFacts | undefined;
      /** Highest configuration revision that this sidecar has seen. */
      readonly revision: Revision;
    }
  | {
      readonly type: 'confirmed';
      readonly now: Milliseconds;
      readonly key: AttemptKey;
      /** `ok` when the group is whole; otherwise why the attempt may not run. */
      readonly code: ResultCodeName;
    }
  | {
      readonly type: 'upstreamHead';
      readonly now: Milliseconds;
      readonly key: AttemptKey;
      readonly status: number;
      readonly headers: readonly HeaderField[];
    }
  | {
      readonly type: 'upstreamData';
      readonly now: Milliseconds;
      readonly key: AttemptKey;
      readonly bytes: Uint8Array;
    }
  | {
      readonly type: 'upstreamEnded';
      readonly now: Milliseconds;
      readonly key: AttemptKey;
      /** `ok` when the upstream's own end was seen; `upstreamUnreachable` when nothing was sent. */
      readonly code: ResultCodeName;
    }
  | {
      readonly type: 'asked';
      readonly now: Milliseconds;
      readonly question: number;
      readonly name: AttemptName;
    }
  | {
      readonly type: 'resumed';
      readonly now: Milliseconds;
      readonly subscriber: SubscriberId;
      readonly name: AttemptName;
      readonly offset: number;
    }
  | { readonly type: 'cancelled'; readonly now: Milliseconds; readonly name: AttemptName }
  | {
      readonly type: 'subscriberGone';
      readonly now: Milliseconds;
      readonly subscriber: SubscriberId;
    }
  | { readonly type: 'tick'; readonly now: Milliseconds }
  | { readonly type: 'drainStarted'; readonly now: Milliseconds };

/** What the shell does for the attempts of a sidecar. */
export type AttemptEffect =
  | {
      readonly type: 'send';
      readonly subscriber: SubscriberId;
      readonly message: AttemptMessage;
    }
  | { readonly type: 'closeSubscriber'; readonly subscriber: SubscriberId }
  /** Asks the members of the group once more right before the upstream gets the attempt. */
  | {
      readonly type: 'confirm';
      readonly key: AttemptKey;
      readonly group: GroupName;
      readonly fencingNumber: FencingNumber;
    }
  | { readonly type: 'startUpstream'; readonly key: AttemptKey }
  | { readonly type: 'cancelUpstream'; readonly key: AttemptKey }
  /** The attempt never goes to the upstream: its body can be dropped. */
  | { readonly type: 'dropRequest'; readonly key: AttemptKey }
  | { readonly type: 'answerAsk'; readonly question: number; readonly state: AttemptState };
