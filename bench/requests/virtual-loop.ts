import type { Milliseconds } from '../../src/common/index.js';

interface Task {
  readonly at: Milliseconds;
  readonly order: number;
  readonly run: () => void;
}

/** Runs tasks in the order of virtual time; tasks of the same time run in the order in which they were added. */
export class VirtualLoop {
  #heap: Task[] = [];
  #order = 0;
  #now: Milliseconds = 0;

  get now(): Milliseconds {
    return this.#now;
  }

  /** Runs a task after a delay. */
  after(delay: Milliseconds, run: () => void): void {
    this.#order += 1;
    this.#push({ at: this.#now + Math.max(0, delay), order: this.#order, run });
  }

  /** Runs all tasks up to a time, those that they add included. */
  runUntil(end: Milliseconds): void {
    for (let task = this.#heap[0]; task !== undefined && task.at <= end; task = this.#heap[0]) {
      this.#pop();
      this.#now = task.at;
      task.run();
    }
    this.#now = end;
  }

  #push(task: Task): void {
    const heap = this.#heap;
    let index = heap.push(task) - 1;
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(task, above)) {
        break;
      }
      heap[index] = above;
      index = parent;
    }
    heap[index] = task;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const child = this.#findLowerChild(index);
      const below = heap[child];
      if (below === undefined || !isBefore(below, last)) {
        break;
      }
      heap[index] = below;
      index = child;
    }
    heap[index] = last;
  }

  #findLowerChild(index: number): number {
    const left = 2 * index + 1;
    const leftTask = this.#heap[left];
    const rightTask = this.#heap[left + 1];
    const isRightLower =
      leftTask !== undefined && rightTask !== undefined && isBefore(rightTask, leftTask);
    return isRightLower ? left + 1 : left;
  }
}

function isBefore(left: Task, right: Task): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}
