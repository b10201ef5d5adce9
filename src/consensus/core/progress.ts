import type { Milliseconds } from '../../common/index.js';
import type { Snapshot } from './entry.js';
import type { Member } from './membership.js';
import type { AcknowledgementMessage, FollowerClock } from './messages.js';

/** A snapshot on its way to a follower, one chunk at a time. */
export interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  readonly offset: number;
  readonly sentAt: Milliseconds;
}

/**
 * How a follower is sent the log.
 * `probing`: one message at a time, until the follower's log is known; `streaming`: ahead of its answers;
 * `snapshot`: what it needs was compacted away.
 */
export type ReplicationMode =
  | { readonly type: 'probing'; readonly isOutstanding: boolean }
  | { readonly type: 'streaming' }
  | { readonly type: 'snapshot'; readonly transfer: SnapshotTransfer };

/** What a leader knows of one follower. */
export class FollowerProgress {
  readonly member: Member;
  mode: ReplicationMode = { type: 'probing', isOutstanding: false };
  nextIndex: number;
  #matchIndex = 0;
  #round = 0;
  #acknowledgedAt: Milliseconds;
  #clock: FollowerClock | undefined;

  constructor(member: Member, nextIndex: number, now: Milliseconds) {
    this.member = member;
    this.nextIndex = nextIndex;
    this.#acknowledgedAt = now;
  }

  /** Last entry that the follower has synced. */
  get matchIndex(): number {
    return this.#matchIndex;
  }

  /** Newest round that the follower answered. */
  get round(): number {
    return this.#round;
  }

  /** The leader's clock when it sent the newest message that the follower answered. */
  get acknowledgedAt(): Milliseconds {
    return this.#acknowledgedAt;
  }

  /** Newest reading of the follower's clock. */
  get clock(): FollowerClock | undefined {
    return this.#clock;
  }

  acknowledge(message: AcknowledgementMessage): void {
    this.#round = Math.max(this.#round, message.round);
    this.#acknowledgedAt = Math.max(this.#acknowledgedAt, message.sentAt);
    const isNewer =
      this.#clock?.incarnation !== message.clock.incarnation || message.clock.at > this.#clock.at;
    if (isNewer) {
      this.#clock = message.clock;
    }
  }

  advanceMatch(index: number): void {
    this.#matchIndex = Math.max(this.#matchIndex, index);
    this.nextIndex = Math.max(this.nextIndex, this.#matchIndex + 1);
  }
}
