import type { HeaderField } from '../sidecar/attempts/index.js';
import { EventFramer } from './event-framer.js';
import type { RequestEffect } from './messages.js';

/** What came of adding bytes to an answer. */
export type Assembled =
  | { readonly type: 'effects'; readonly effects: readonly RequestEffect[] }
  | { readonly type: 'tooLarge' };

interface Head {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly isStream: boolean;
}

const eventStreamType = 'text/event-stream';

/**
 * Turns the bytes of one attempt into the answer for the caller.
 * A stream of events goes out event by event; anything else is held until it is whole, so that it can be rerun.
 */
export class AnswerAssembler {
  readonly #maximumBytes: number;
  #head: Head | undefined;
  #chunks: Uint8Array[] = [];
  #size = 0;
  #framer = new EventFramer();
  #hasStarted = false;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Whether bytes have gone to the caller, so that the answer cannot be taken from another attempt any more. */
  get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /** Bytes taken in from the present attempt. */
  get size(): number {
    return this.#size;
  }

  /** Whether it is known what kind of answer this is; without that no byte can be taken in. */
  get hasHead(): boolean {
    return this.#head !== undefined;
  }

  /** Whether the answer is a stream of events. */
  get isStream(): boolean {
    return this.#head?.isStream === true;
  }

  /** Sets the head; the first one of an attempt stands. */
  setHead(status: number, headers: readonly HeaderField[]): void {
    this.#head ??= { status, headers, isStream: isEventStream(headers) };
  }

  /** Drops what came of a broken attempt; only before anything has gone to the caller. */
  reset(): void {
    this.#head = undefined;
    this.#chunks = [];
    this.#size = 0;
    this.#framer = new EventFramer();
  }

  append(bytes: Uint8Array): Assembled {
    this.#size += bytes.length;
    if (this.isStream) {
      return this.#stream(bytes);
    }
    if (this.#size > this.#maximumBytes) {
      return { type: 'tooLarge' };
    }
    this.#chunks.push(bytes);
    return { type: 'effects', effects: [] };
  }

  /** The answer is whole. */
  finish(): readonly RequestEffect[] {
    const rest = this.isStream ? [this.#framer.finish()] : this.#chunks;
    const bytes = rest.filter((chunk) => chunk.length > 0);
    return [
      ...this.#start(),
      ...bytes.map((chunk): RequestEffect => ({ type: 'answerBytes', bytes: chunk })),
      { type: 'answerEnd' },
    ];
  }

  #stream(bytes: Uint8Array): Assembled {
    const whole = this.#framer.push(bytes);
    if (this.#framer.heldBytes > this.#maximumBytes) {
      return { type: 'tooLarge' };
    }
    if (whole.length === 0) {
      return { type: 'effects', effects: [] };
    }
    return { type: 'effects', effects: [...this.#start(), { type: 'answerBytes', bytes: whole }] };
  }

  #start(): readonly RequestEffect[] {
    if (this.#hasStarted) {
      return [];
    }
    this.#hasStarted = true;
    const head = this.#head ?? { status: 200, headers: [], isStream: false };
    return [{ type: 'answerHead', ...head }];
  }
}

function isEventStream(headers: readonly HeaderField[]): boolean {
  const type = headers.find(({ name }) => name.toLowerCase() === 'content-type')?.value ?? '';
  return type.toLowerCase().startsWith(eventStreamType);
}
