import type { Milliseconds } from '../../common/index.js';
import type { Load } from '../../model/index.js';
import type { AttemptRecord } from './attempt-record.js';
import type { AttemptEffect, AttemptMessage, SubscriberId } from './messages.js';

/** Creates the messages for subscribers and records when each subscriber was last sent one. */
export class AttemptOutbox {
  readonly #lastSent = new Map<SubscriberId, Milliseconds>();

  /** Sends a message to the attempt's subscriber, if there is one. */
  send(
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

  /** Sends a subscriber its last message and closes its stream. */
  sendFinal(subscriber: SubscriberId, message: AttemptMessage): readonly AttemptEffect[] {
    return [{ type: 'send', subscriber, message }, ...this.close(subscriber)];
  }

  /** Closes a subscriber's stream. */
  close(subscriber: SubscriberId | undefined): readonly AttemptEffect[] {
    if (subscriber === undefined) {
      return [];
    }
    this.#lastSent.delete(subscriber);
    return [{ type: 'closeSubscriber', subscriber }];
  }

  /** Removes a subscriber that has disconnected. */
  removeSubscriber(subscriber: SubscriberId): void {
    this.#lastSent.delete(subscriber);
  }

  /** Whether a subscriber has been sent nothing for an interval. */
  isIdle(subscriber: SubscriberId, now: Milliseconds, interval: Milliseconds): boolean {
    const lastSent = this.#lastSent.get(subscriber);
    return lastSent === undefined || now - lastSent >= interval;
  }

  /** Sends everything a gateway needs to resume at an offset; `chunks` are the bytes from there on. */
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
      messages.push(record.createEndMessage(0));
    }
    return messages.flatMap((message) => this.send(record, message, now));
  }
}
