import type { HeaderField } from './messages.js';

/** Tells whether an event stream that only the end of its connection delimits ends after a whole event. */

const eventStreamType = 'text/event-stream';
/** The longest end of an event: two line ends of two characters each. */
const longestEventEnd = 4;

export class UnframedStream {
  readonly #isEventStream: boolean;
  #tail = '';

  constructor(headers: readonly HeaderField[]) {
    const type = headers.find(({ name }) => name.toLowerCase() === 'content-type')?.value ?? '';
    this.#isEventStream = type.toLowerCase().startsWith(eventStreamType);
  }

  /** Whether the bytes so far end inside an event; false for a response that is no event stream. */
  get isInsideEvent(): boolean {
    return this.#isEventStream && this.#tail !== '' && !/\n\r?\n$/.test(this.#tail);
  }

  push(bytes: Uint8Array): void {
    const newest = Buffer.from(bytes.subarray(-longestEventEnd)).toString('latin1');
    this.#tail = (this.#tail + newest).slice(-longestEventEnd);
  }
}
