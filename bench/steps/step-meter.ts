/** Counts the steps of decision cores and the processor time in them. */
import type { Controller } from '../../src/common/index.js';
import { formatFigure } from '../support/index.js';

/** Steps of one kind. */
export class StepMeter {
  #steps = 0;
  #milliseconds = 0;

  /** Runs one step. */
  measure<Value>(step: () => Value): Value {
    const start = performance.now();
    const value = step();
    this.#milliseconds += performance.now() - start;
    this.#steps += 1;
    return value;
  }

  /** The same controller, each of whose steps is counted. */
  wrap<Event, Effect>(controller: Controller<Event, Effect>): Controller<Event, Effect> {
    return { handle: (event) => this.measure(() => controller.handle(event)) };
  }

  /** Forgets what was counted: code that was not compiled yet. */
  reset(): void {
    this.#steps = 0;
    this.#milliseconds = 0;
  }

  get steps(): number {
    return this.#steps;
  }

  /** Mean of one step, in microseconds. */
  get microseconds(): number {
    return (this.#milliseconds * 1000) / this.#steps;
  }
}

/** A row of the table of steps. */
export function createStepRow(name: string, meter: StepMeter, per = ''): readonly string[] {
  return [name, String(meter.steps), formatFigure(meter.microseconds), per];
}

/** Repeats one step, after a warm-up of a tenth as many. */
export function measureRepeatedly(repeats: number, step: (turn: number) => unknown): StepMeter {
  const meter = new StepMeter();
  const warmUp = Math.ceil(repeats / 10);
  for (let turn = 0; turn < warmUp + repeats; turn += 1) {
    if (turn === warmUp) {
      meter.reset();
    }
    meter.measure(() => step(turn));
  }
  return meter;
}
