import type { Milliseconds } from '../../src/common/index.js';

/**
 * Simulates the head of a group of engines in virtual time. The group runs up to `slots` requests in passes of several token steps and reads
 * prompts between passes. Further requests queue, the most urgent first. Its load and its unread prompts delay the first event of a request.
 */

/** How fast a group reads and writes. */
export interface GroupPace {
  readonly slots: number;
  /** Factor on the duration of a step. */
  readonly pace: number;
}

export interface GroupWork {
  /** Prompt tokens. */
  readonly prompt: number;
  /** Tokens to write. */
  readonly answer: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

export interface GroupListener<Work extends GroupWork> {
  readonly onFirstEvent: (work: Work, at: Milliseconds) => void;
  readonly onEnd: (work: Work, at: Milliseconds) => void;
}

const stepsPerPass = 5;
const stepDuration: Milliseconds = 6.45;
const durationPerWriter: Milliseconds = 0.137;
const promptTokensPerMillisecond = 56;
const promptTokensPerPass = 2048;

interface Run<Work> {
  readonly work: Work;
  unread: number;
  unwritten: number;
  hasBegun: boolean;
}

export class EngineGroupSimulation<Work extends GroupWork> {
  readonly #pace: GroupPace;
  readonly #listener: GroupListener<Work>;
  #queue: Work[] = [];
  #runs: Run<Work>[] = [];
  /** End of the present pass. */
  #busyUntil: Milliseconds = 0;
  /** Factor on all durations; above 1 if the group is slow. */
  slowdown = 1;

  constructor(pace: GroupPace, listener: GroupListener<Work>) {
    this.#pace = pace;
    this.#listener = listener;
  }

  get load(): { readonly running: number; readonly waiting: number; readonly slots: number } {
    const { slots } = this.#pace;
    return { running: this.#runs.length, waiting: this.#queue.length, slots };
  }

  accept(work: Work, now: Milliseconds): void {
    this.#queue.push(work);
    this.#queue.sort((one, other) => one.priority - other.priority);
    this.#busyUntil = Math.max(this.#busyUntil, this.#runs.length === 0 ? now : 0);
  }

  /** Drops all requests and returns them with the tokens that they have not written. */
  clear(): readonly (readonly [work: Work, unwritten: number])[] {
    const lost = [
      ...this.#runs.map(({ work, unwritten }) => [work, unwritten] as const),
      ...this.#queue.map((work) => [work, work.answer] as const),
    ];
    this.#runs = [];
    this.#queue = [];
    return lost;
  }

  advance(now: Milliseconds): void {
    while (this.#busyUntil <= now && this.#runs.length + this.#queue.length > 0) {
      this.#endRuns();
      this.#admit();
      this.#runPass();
    }
  }

  #endRuns(): void {
    const ended = this.#runs.filter(({ unwritten }) => unwritten <= 0);
    this.#runs = this.#runs.filter(({ unwritten }) => unwritten > 0);
    ended.forEach(({ work }) => {
      this.#listener.onEnd(work, this.#busyUntil);
    });
  }

  #admit(): void {
    const admitted = this.#queue.splice(0, this.#pace.slots - this.#runs.length);
    for (const work of admitted) {
      this.#runs.push({ work, unread: work.prompt, unwritten: work.answer, hasBegun: false });
    }
  }

  #runPass(): void {
    if (this.#runs.length === 0) {
      return;
    }
    this.#busyUntil += (this.#readPrompts() / promptTokensPerMillisecond) * this.slowdown;
    const writers = this.#runs.filter(({ unread }) => unread === 0);
    if (writers.length === 0) {
      return;
    }
    const step =
      (stepDuration * this.#pace.pace + durationPerWriter * writers.length) * this.slowdown;
    for (const run of writers) {
      if (!run.hasBegun) {
        run.hasBegun = true;
        this.#listener.onFirstEvent(run.work, this.#busyUntil + step);
      }
      run.unwritten -= stepsPerPass;
    }
    this.#busyUntil += step * stepsPerPass;
  }

  /** Returns the number of tokens read. */
  #readPrompts(): number {
    let left = promptTokensPerPass;
    for (const run of this.#runs) {
      const read = Math.min(left, run.unread);
      run.unread -= read;
      left -= read;
    }
    return promptTokensPerPass - left;
  }
}
