import { systemClock, type Clock, type Milliseconds } from './time.js';

/** Catches the signals of a process, also those that arrive before anything can act on them. */

/** Signals whose default action would end the process at once, with its work in progress. */
const caughtSignals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

export type CaughtSignal = (typeof caughtSignals)[number];

/** A signal and when it arrived, on the monotonic clock. */
export interface ReceivedSignal {
  readonly signal: CaughtSignal;
  readonly at: Milliseconds;
}

export class ProcessSignals {
  readonly #clock: Clock;
  #waiting: ReceivedSignal[] = [];
  #handle: ((received: ReceivedSignal) => void) | undefined;

  /** Catches signals from now on. */
  constructor(clock: Clock = systemClock) {
    this.#clock = clock;
    for (const signal of caughtSignals) {
      process.on(signal, () => {
        this.#receive(signal);
      });
    }
  }

  /** Sets the only handler, and passes it at once the signals that have arrived before. */
  setHandler(handle: (received: ReceivedSignal) => void): void {
    this.#handle = handle;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach(handle);
  }

  #receive(signal: CaughtSignal): void {
    const received = { signal, at: this.#clock.monotonic() };
    if (this.#handle === undefined) {
      this.#waiting.push(received);
    } else {
      this.#handle(received);
    }
  }
}
