import { Err, type Result } from 'ts-results';

import type { Failure } from '../common/index.js';

/** Calls that wait for an effect of the core, by the id that the event and the effect carry. */
export class PendingCalls<Value> {
  readonly #resolvers = new Map<number, (result: Result<Value, Failure>) => void>();
  #lastId = 0;

  get size(): number {
    return this.#resolvers.size;
  }

  /** Begins a call; `start` gets its id. */
  begin(start: (id: number) => void): Promise<Result<Value, Failure>> {
    this.#lastId += 1;
    const id = this.#lastId;
    return new Promise((resolve) => {
      this.#resolvers.set(id, resolve);
      start(id);
    });
  }

  settle(id: number, result: Result<Value, Failure>): void {
    const resolve = this.#resolvers.get(id);
    this.#resolvers.delete(id);
    resolve?.(result);
  }

  failAll(failure: Failure): void {
    for (const id of [...this.#resolvers.keys()]) {
      this.settle(id, new Err(failure));
    }
  }
}
