import { Err, type Result } from 'ts-results';

import type { Failure, Milliseconds } from '../common/index.js';

interface PendingCall<Value> {
  readonly begunAt: Milliseconds;
  readonly resolve: (result: Result<Value, Failure>) => void;
}

/** Calls that wait for an effect of the core, by the id that the event and the effect carry. */
export class PendingCalls<Value> {
  /** In the order in which they began. */
  readonly #calls = new Map<number, PendingCall<Value>>();
  #lastId = 0;

  get size(): number {
    return this.#calls.size;
  }

  /** Begins a call; `start` gets its id. */
  begin(now: Milliseconds, start: (id: number) => void): Promise<Result<Value, Failure>> {
    this.#lastId += 1;
    const id = this.#lastId;
    return new Promise((resolve) => {
      this.#calls.set(id, { begunAt: now, resolve });
      start(id);
    });
  }

  settle(id: number, result: Result<Value, Failure>): void {
    const call = this.#calls.get(id);
    this.#calls.delete(id);
    call?.resolve(result);
  }

  /** Fails the calls that began at a time or before it. */
  failOlder(begunAt: Milliseconds, failure: Failure): void {
    for (const [id, call] of this.#calls) {
      if (call.begunAt > begunAt) {
        return;
      }
      this.settle(id, new Err(failure));
    }
  }

  failAll(failure: Failure): void {
    this.failOlder(Number.POSITIVE_INFINITY, failure);
  }
}
