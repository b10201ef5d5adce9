import type { Milliseconds } from '../../common/index.js';
import type { Snapshot } from './entry.js';
import type { Member } from './membership.js';
import type { AcknowledgementMessage, FollowerClock } from './messages.js';

/** A snapshot that is being sent to a follower, one chunk at a time. */
export interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  readonly offset: number;
  readonly sentAt: Milliseconds;
}

/**
 * How the log is sent to a follower.
 * `probing`: one message at a time, until the position of the follower's log is known; `streaming`: pipelined, without
 * waiting for answers; `snapshot`: the entries that it needs were compacted away, so it is sent a snapshot.
 */
export type ReplicationMode =
  | { readonly type: 'probing'; readonly isOutstanding: boolean }
  | { readonly type: 'streaming' }
  | { readonly type: 'snapshot'; readonly transfer: SnapshotTransfer };

/** The replication progress of one follower, as known to the leader. */
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

  /** Index of the last entry that the follower is known to have synced. */
  get matchIndex(): number {
    return this.#matchIndex;
  }

  /** Latest round that the follower has acknowledged. */
  get round(): number {
    return this.#round;
  }

  /** The leader's clock when it sent the latest message that the follower has acknowledged. */
  get acknowledgedAt(): Milliseconds {
    return this.#acknowledgedAt;
  }

  /** Latest reading of the follower's clock. */
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
