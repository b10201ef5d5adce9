import type { Milliseconds, RandomSource } from '../../src/common/index.js';
import type { VirtualLoop } from './virtual-loop.js';

/** What may happen to each message; shares from 0 to 1. */
export interface MessageFaults {
  readonly loss: number;
  readonly duplicate: number;
  /** Share of messages that come up to `lateBy` later, and so out of order. */
  readonly late: number;
  readonly lateBy: Milliseconds;
}

/** A network that delivers everything once, in order. */
export const noMessageFaults: MessageFaults = { loss: 0, duplicate: 0, late: 0, lateBy: 0 };

/** One way of one hop inside a failure domain. */
const hopDelay: Milliseconds = 0.5;

/** One connection between a gateway and a sidecar; once silent, nothing that is put on it is heard of soon. */
export class FakeConnection {
  isSilent = false;
}

/** Carries messages with the faults of a history. */
export class FakeNetwork {
  readonly #loop: VirtualLoop;
  readonly #random: RandomSource;
  readonly #faults: MessageFaults;

  constructor(loop: VirtualLoop, random: RandomSource, faults: MessageFaults) {
    this.#loop = loop;
    this.#random = random;
    this.#faults = faults;
  }

  /** Delivers a message on a connection: once, twice, late or never. */
  deliver(connection: FakeConnection, receive: () => void): void {
    if (connection.isSilent) {
      this.#deliverSilent(receive);
      return;
    }
    if (this.#happens(this.#faults.loss)) {
      return;
    }
    this.#loop.after(this.#findDelay(), receive);
    if (this.#happens(this.#faults.duplicate)) {
      this.#loop.after(this.#findDelay(), receive);
    }
  }

  /** What was put on a silent connection is lost, or drains from some buffer long after. */
  #deliverSilent(receive: () => void): void {
    if (this.#happens(0.5)) {
      this.#loop.after(this.#random.fraction() * 20_000, receive);
    }
  }

  #findDelay(): Milliseconds {
    const isLate = this.#happens(this.#faults.late);
    return hopDelay + (isLate ? this.#random.fraction() * this.#faults.lateBy : 0);
  }

  #happens(share: number): boolean {
    return share > 0 && this.#random.fraction() < share;
  }
}
