import type { Milliseconds } from '../common/index.js';
import type { EngineExchange, LossInput } from './model-losses.js';

/** Remembers which models recently gave engines to which, so that the same engines do not go back and forth; free of I/O. */

/** Longer than any interval between exchanges that the planner keeps. */
const retention: Milliseconds = 30_000;

export class ExchangeHistory {
  #entries: readonly { readonly exchange: EngineExchange; readonly at: Milliseconds }[] = [];

  record(exchanges: readonly EngineExchange[], now: Milliseconds): void {
    if (exchanges.length > 0) {
      const recent = this.#entries.filter(({ at }) => now - at <= retention);
      this.#entries = [...recent, ...exchanges.map((exchange) => ({ exchange, at: now }))];
    }
  }

  describe(now: Milliseconds): LossInput['exchanges'] {
    return this.#entries.map(({ exchange, at }) => ({ ...exchange, age: now - at }));
  }

  /** Called when the leader changes. */
  clear(): void {
    this.#entries = [];
  }
}
