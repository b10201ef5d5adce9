import type { CommittedEntry, Snapshot } from '../../../src/consensus/core/index.js';

/** State machine of the simulations: stores every written value in order. */
export class RegisterMachine {
  #values: readonly number[] = [];
  #appliedIndex = 0;

  get values(): readonly number[] {
    return this.#values;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  apply({ entry }: CommittedEntry): void {
    if (entry.index !== this.#appliedIndex + 1) {
      throw new Error(`applied ${entry.index} after ${this.#appliedIndex}`);
    }
    this.#appliedIndex = entry.index;
    if (entry.payload.type === 'command') {
      this.#values = [...this.#values, Number(entry.payload.command)];
    }
  }

  takeSnapshot(): string {
    return JSON.stringify(this.#values);
  }

  restore(snapshot: Pick<Snapshot, 'index' | 'data'>): void {
    this.#appliedIndex = snapshot.index;
    this.#values = JSON.parse(snapshot.data) as readonly number[];
  }
}
