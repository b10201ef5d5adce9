import { Err, type Result } from 'ts-results';

import type { Failure, Milliseconds } from '../common/index.js';

interface PendingCall<Value> {
  readonly startedAt: Milliseconds;
  readonly resolve: (result: Result<Value, Failure>) => void;
}

/** Calls that wait for an effect of the core, keyed by the id that both the event and the effect carry. */
export class PendingCalls<Value> {
  /** In the order in which they started. */
  readonly #calls = new Map<number, PendingCall<Value>>();
  #lastId = 0;

  get size(): number {
    return this.#calls.size;
  }

  /** Registers a call and passes its id to `start`. */
  begin(now: Milliseconds, start: (id: number) => void): Promise<Result<Value, Failure>> {
    this.#lastId += 1;
    const id = this.#lastId;
    return new Promise((resolve) => {
      this.#calls.set(id, { startedAt: now, resolve });
      start(id);
    });
  }

  settle(id: number, result: Result<Value, Failure>): void {
    const call = this.#calls.get(id);
    this.#calls.delete(id);
    call?.resolve(result);
  }

  /** Fails the calls that started at or before a time. */
  failStartedBy(latestStart: Milliseconds, failure: Failure): void {
    for (const [id, call] of this.#calls) {
      if (call.startedAt > latestStart) {
        return;
      }
      this.settle(id, new Err(failure));
    }
  }

  failAll(failure: Failure): void {
    this.failStartedBy(Number.POSITIVE_INFINITY, failure);
  }
}
