import type { Milliseconds } from '../../src/common/index.js';
import type { GroupListener, GroupWork } from './engine-group-simulation.js';

/** Simulates an instance of a plain service in virtual time: a few slots, a queue in order of arrival, and one event at the end. */

const millisecondsPerToken = 1;

interface Run<Work> {
  readonly work: Work;
  readonly endsAt: Milliseconds;
}

export class InstanceSimulation<Work extends GroupWork> {
  readonly #slots: number;
  readonly #listener: GroupListener<Work>;
  #queue: Work[] = [];
  #runs: Run<Work>[] = [];
  /** Factor on all durations; above 1 if the instance is slow. */
  slowdown = 1;

  constructor(slots: number, listener: GroupListener<Work>) {
    this.#slots = slots;
    this.#listener = listener;
  }

  get load(): { readonly running: number; readonly waiting: number; readonly slots: number } {
    return { running: this.#runs.length, waiting: this.#queue.length, slots: this.#slots };
  }

  accept(work: Work, now: Milliseconds): void {
    this.#queue.push(work);
    this.advance(now);
  }

  advance(now: Milliseconds): void {
    const ended = this.#runs.filter(({ endsAt }) => endsAt <= now);
    this.#runs = this.#runs.filter(({ endsAt }) => endsAt > now);
    for (const { work, endsAt } of ended) {
      this.#listener.onFirstEvent(work, endsAt);
      this.#listener.onEnd(work, endsAt);
    }
    for (const work of this.#queue.splice(0, this.#slots - this.#runs.length)) {
      const duration = work.answer * millisecondsPerToken * this.slowdown;
      this.#runs.push({ work, endsAt: now + duration });
    }
  }
}
