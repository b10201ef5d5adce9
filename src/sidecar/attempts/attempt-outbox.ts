import type { Milliseconds } from '../../common/index.js';
import type { Load } from '../../model/index.js';
import type { AttemptRecord } from './attempt-record.js';
import type { AttemptEffect, AttemptMessage, SubscriberId } from './messages.js';

/** What goes to the listeners of attempts, and when each of them last heard something. */
export class AttemptOutbox {
  readonly #lastSent = new Map<SubscriberId, Milliseconds>();

  /** Tells whoever listens to the attempt; nothing when nobody does. */
  tell(
    record: AttemptRecord,
    message: AttemptMessage,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    const { subscriber } = record;
    if (subscriber === undefined) {
      return [];
    }
    this.#lastSent.set(subscriber, now);
    return [{ type: 'send', subscriber, message }];
  }

  /** Sends a listener its last message. */
  tellLast(subscriber: SubscriberId, message: AttemptMessage): readonly AttemptEffect[] {
    return [{ type: 'send', subscriber, message }, ...this.close(subscriber)];
  }

  /** Ends a listener's stream. */
  close(subscriber: SubscriberId | undefined): readonly AttemptEffect[] {
    if (subscriber === undefined) {
      return [];
    }
    this.#lastSent.delete(subscriber);
    return [{ type: 'closeSubscriber', subscriber }];
  }

  /** A listener is gone by itself. */
  forget(subscriber: SubscriberId): void {
    this.#lastSent.delete(subscriber);
  }

  /** Whether a listener has heard nothing for an interval. */
  isQuiet(subscriber: SubscriberId, now: Milliseconds, interval: Milliseconds): boolean {
    const lastSent = this.#lastSent.get(subscriber);
    return lastSent === undefined || now - lastSent >= interval;
  }

  /** All that a gateway needs to go on from an offset; the bytes from there on are passed in. */
  replay(
    record: AttemptRecord,
    offset: number,
    chunks: readonly Uint8Array[],
    load: Load,
    now: Milliseconds,
  ): readonly AttemptEffect[] {
    const messages: AttemptMessage[] = [{ type: 'accepted', load }];
    if (record.head !== undefined) {
      messages.push({ type: 'head', ...record.head });
    }
    let position = offset;
    for (const bytes of chunks) {
      messages.push({ type: 'data', offset: position, bytes });
      position += bytes.length;
    }
    if (record.stage === 'ended') {
      messages.push(record.describeEnd(0));
    }
    return messages.flatMap((message) => this.tell(record, message, now));
  }
}
