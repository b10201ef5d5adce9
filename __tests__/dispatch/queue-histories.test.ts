import { describe, expect, it } from 'vitest';

import { createRandomSource, type RandomSource } from '../../src/common/index.js';
import { UrgencyQueue, type QueueEntry } from '../../src/dispatch/index.js';

/** Rules that hold in every history of a queue, checked over random ones with fixed seeds. */

const histories = Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 200);
const steps = 120;
const groups = ['group-1', 'group-2'] as const;
const startTime = 40;

/** How a request left the queue. */
type Exit = 'served' | 'refused' | 'withdrawn';

class History {
  readonly exits = new Map<string, Exit[]>();
  readonly #random: RandomSource;
  readonly #queue = new UrgencyQueue<QueueEntry>({
    expectedStart: () => startTime,
    weightOf: () => 1,
  });
  readonly #waiting = new Map<string, QueueEntry>();
  readonly #free = new Map<string, number>();
  #now = 0;
  #identifier = 0;
  /** Requests that left a slot unused which they could have taken. */
  unused = 0;

  constructor(seed: number) {
    this.#random = createRandomSource(seed);
  }

  get waitingCount(): number {
    return this.#waiting.size;
  }

  get queueLength(): number {
    return this.#queue.length;
  }

  step(): void {
    this.#now += this.#random.integerBelow(40);
    const action = this.#random.fraction();
    if (action < 0.55) {
      this.#offer();
    } else if (action < 0.65) {
      this.#withdraw();
    } else {
      const group = groups[this.#random.integerBelow(groups.length)] ?? 'group-1';
      this.#free.set(group, (this.#free.get(group) ?? 0) + 1);
    }
    this.#serve();
  }

  /** Ends the history: no slots, and all waits are over. */
  finish(): void {
    this.#free.clear();
    this.#now += 10_000;
    this.#serve();
  }

  #offer(): void {
    this.#identifier += 1;
    const id = String(this.#identifier);
    const objective = 100 + this.#random.integerBelow(400);
    const entry: QueueEntry = {
      id,
      account: `account-${this.#random.integerBelow(4)}`,
      route: `route-${this.#random.integerBelow(2)}`,
      priority: this.#random.integerBelow(3),
      work: 1 + this.#random.integerBelow(100),
      arrivedAt: this.#now,
      objectiveAt: this.#random.fraction() < 0.2 ? undefined : this.#now + objective,
      refuseAt: this.#now + 500,
      tried: this.#random.fraction() < 0.2 ? 'group-1' : '',
    };
    this.#waiting.set(id, entry);
    this.#queue.offer(entry, this.#now);
  }

  #withdraw(): void {
    const entries = [...this.#waiting.keys()];
    const id = entries[this.#random.integerBelow(Math.max(1, entries.length))];
    if (id !== undefined) {
      this.#queue.withdraw(id);
      this.#leave(id, 'withdrawn');
    }
  }

  #serve(): void {
    const isServable = (entry: QueueEntry): boolean => this.#findGroup(entry) !== undefined;
    for (
      let entry = this.#queue.next(this.#now, isServable);
      entry !== undefined;
      entry = this.#queue.next(this.#now, isServable)
    ) {
      const group = this.#findGroup(entry) ?? '';
      this.#free.set(group, (this.#free.get(group) ?? 0) - 1);
      this.#leave(entry.id, 'served');
    }
    this.unused += [...this.#waiting.values()].filter(isServable).length;
    for (const { entry } of this.#queue.expire(this.#now)) {
      this.#leave(entry.id, 'refused');
    }
  }

  #findGroup({ tried }: QueueEntry): string | undefined {
    return groups.find((group) => group !== tried && (this.#free.get(group) ?? 0) > 0);
  }

  #leave(id: string, exit: Exit): void {
    this.#waiting.delete(id);
    this.exits.set(id, [...(this.exits.get(id) ?? []), exit]);
  }
}

function runHistories(check: (history: History, seed: number) => void): void {
  for (let seed = 1; seed <= histories; seed += 1) {
    const history = new History(seed);
    for (let step = 0; step < steps; step += 1) {
      history.step();
    }
    check(history, seed);
  }
}

describe('every history of a queue', () => {
  /** Guards against requests that get two responses, or none, because they left the queue twice or never. */
  it('lets each request leave exactly once', () => {
    runHistories((history, seed) => {
      history.finish();
      const wrong = [...history.exits.values()].filter((exits) => exits.length !== 1);
      expect({ seed, wrong, waiting: history.waitingCount }).toEqual({
        seed,
        wrong: [],
        waiting: 0,
      });
      expect(history.queueLength).toBe(0);
    });
  });

  /** Guards against slots that stay free, or are refused to a request, while one waits that could take them. */
  it('leaves no slot unused that a waiting request could take', () => {
    runHistories(({ unused }, seed) => {
      expect({ seed, unused }).toEqual({ seed, unused: 0 });
    });
  });
});
