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

/** A header field of a request or a response. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** Messages about one attempt from a sidecar to a gateway, sent in the order in which they were created. */
export type AttemptMessage =
  /** The attempt was passed to the upstream; from now on it may have run. */
  | { readonly type: 'accepted'; readonly load: Load }
  /** The attempt was definitely not run. Never follows `accepted`. */
  | { readonly type: 'refused'; readonly refusal: AttemptRefusal }
  | { readonly type: 'head'; readonly status: number; readonly headers: readonly HeaderField[] }
  | { readonly type: 'data'; readonly offset: number; readonly bytes: Uint8Array }
  | { readonly type: 'keepAlive'; readonly load: Load }
  /** The code is `ok` for a complete response. Without this message a response is never complete. */
  | {
      readonly type: 'ended';
      readonly totalBytes: number;
      readonly code: ResultCodeName;
      readonly retryAfter: Milliseconds;
      /** Identifies the crash of the upstream that broke the answer; absent if there was none, or if that is not known. */
      readonly crash?: string;
    };

/** The client's request as it is sent to the upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Model, adapter and prompt prefix, for the engine's prefix cache; may be empty. */
  readonly affinityKey: string;
}

/** State of a group at the time of an event. */
export interface GroupSnapshot {
  readonly fencingNumber: FencingNumber;
  /** Whether the leases of all group members are held at the time of the event. */
  readonly isWhole: boolean;
  readonly isDraining: boolean;
  /** Maximum number of concurrent attempts at the upstream. */
  readonly concurrency: number;
}

/** Identifies a connection that receives the messages of an attempt; assigned by `AttemptService`. */
export type SubscriberId = number;

/** Key of an attempt, as returned by `formatAttemptName`. */
export type AttemptKey = string;

/** Input events of the attempt controller; `now` is monotonic time. */
export type AttemptEvent =
  | {
      readonly type: 'arrived';
      readonly now: Milliseconds;
      readonly wallNow: WallTime;
      readonly subscriber: SubscriberId;
      readonly order: AttemptOrder;
      /** Undefined if this sidecar does not lead the group. */
      readonly group: GroupSnapshot | undefined;
      /** Highest configuration revision that this sidecar has seen. */
      readonly revision: Revision;
    }
  | {
      readonly type: 'confirmed';
      readonly now: Milliseconds;
      readonly key: AttemptKey;
      /** `ok` when the leases of all group members are held; otherwise why the attempt may not run. */
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
      /** `ok` when the end of the response was received; `upstreamUnreachable` when nothing was sent. */
      readonly code: ResultCodeName;
      /** As in the `ended` message. */
      readonly crash?: string;
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

/** Effects decided by the attempt controller and carried out by `AttemptService`. */
export type AttemptEffect =
  | {
      readonly type: 'send';
      readonly subscriber: SubscriberId;
      readonly message: AttemptMessage;
    }
  | { readonly type: 'closeSubscriber'; readonly subscriber: SubscriberId }
  /** Rechecks the leases with the group members immediately before the attempt is passed to the upstream. */
  | {
      readonly type: 'confirm';
      readonly key: AttemptKey;
      readonly group: GroupName;
      readonly fencingNumber: FencingNumber;
    }
  | { readonly type: 'startUpstream'; readonly key: AttemptKey }
  | { readonly type: 'cancelUpstream'; readonly key: AttemptKey }
  /** The attempt will not be passed to the upstream, so its request can be dropped. */
  | { readonly type: 'dropRequest'; readonly key: AttemptKey }
  | { readonly type: 'answerAsk'; readonly question: number; readonly state: AttemptState };
