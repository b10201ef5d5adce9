import type { ServerResponse } from 'node:http';

import type { Clock, Milliseconds, RateLimitedLog } from '../../common/index.js';
import { MemoryBudget, type HeldMemory, type MemoryRelief } from '../../dispatch/index.js';
import type { DirectMetrics } from './direct-metrics.js';
import type { ResponseWriter } from './response-writer.js';

/** Keeps the memory that a gateway holds for its callers within a budget. */

const reviewInterval: Milliseconds = 50;

/** A caller whose request and response are held in memory until its response has been sent or its connection is closed. */
export interface HeldCaller {
  readonly requestId: string | undefined;
  readonly response: Pick<ServerResponse, 'writableLength'>;
  readonly answer: Pick<ResponseWriter, 'heldBytes' | 'cut'>;
  /** Bytes of the request that have been received. */
  requestBytes: number;
  isReceiving: boolean;
  /** Undefined while no upstream is involved. */
  delivery: UpstreamReading | undefined;
}

/** Reading of a response from an upstream. */
export interface UpstreamReading {
  readonly pauseReading: () => void;
  /** Goes on reading; also called when the caller's connection has drained. */
  readonly noteDrained: () => void;
}

export interface MemoryGuardOptions {
  readonly bufferBytes: number;
  readonly metrics: Pick<DirectMetrics, 'noteHeldBytes' | 'noteSlowCaller'>;
  readonly clock: Clock;
  readonly log: RateLimitedLog;
}

export class MemoryGuard {
  readonly #options: MemoryGuardOptions;
  readonly #budget: MemoryBudget<HeldCaller>;
  readonly #callers = new Set<HeldCaller>();
  readonly #paused = new WeakSet<HeldCaller>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MemoryGuardOptions) {
    this.#options = options;
    this.#budget = new MemoryBudget(options.bufferBytes);
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.review();
    }, reviewInterval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  add(caller: HeldCaller): void {
    this.#callers.add(caller);
  }

  remove(caller: HeldCaller): void {
    this.#callers.delete(caller);
  }

  /** The caller has taken all that was buffered for it, and reading for it goes on. */
  noteCaughtUp(caller: HeldCaller): void {
    this.#paused.delete(caller);
    this.#budget.noteCaughtUp(caller, this.#options.clock.monotonic());
  }

  /** Whether nothing should be read ahead for callers that have a backlog. */
  get isShort(): boolean {
    return this.#budget.isShort;
  }

  review(): void {
    const memory = [...this.#callers].map(measure);
    this.#options.metrics.noteHeldBytes(sumBytes(memory));
    for (const relief of this.#budget.review(memory, this.#options.clock.monotonic())) {
      this.#apply(relief);
    }
  }

  #apply({ type, key: caller, bytes, behindFor }: MemoryRelief<HeldCaller>): void {
    const { metrics, log } = this.#options;
    const fields = { requestId: caller.requestId, bytes, behindFor: Math.round(behindFor) };
    switch (type) {
      case 'pause':
        caller.delivery?.pauseReading();
        if (!this.#paused.has(caller)) {
          this.#paused.add(caller);
          metrics.noteSlowCaller('paused');
          log.info(fields, 'memory budget: stopped reading for a slow caller');
        }
        return;
      case 'resume':
        this.#paused.delete(caller);
        caller.delivery?.noteDrained();
        return;
      case 'close':
        this.#callers.delete(caller);
        metrics.noteSlowCaller('closed');
        log.info(fields, 'memory budget: closed the connection of a slow caller');
        caller.answer.cut();
        return;
    }
  }
}

function measure(caller: HeldCaller): HeldMemory<HeldCaller> {
  const { response, answer, requestBytes, isReceiving } = caller;
  const held = answer.heldBytes + requestBytes;
  return { key: caller, backlog: response.writableLength, held, isReceiving };
}

function sumBytes(memory: readonly HeldMemory<HeldCaller>[]): number {
  return memory.reduce((sum, { backlog, held }) => sum + backlog + held, 0);
}
