import type { HeaderField } from './messages.js';

/** Event streams in responses of upstreams. */

const eventStreamType = 'text/event-stream';
/** The longest end of an event: two line ends of two characters each. */
const longestEventEnd = 4;

/** Whether a response is a stream of server-sent events; the parameters of its type and the case of its letters do not matter. */
export function isEventStream(headers: readonly HeaderField[]): boolean {
  const type = headers.find(({ name }) => name.toLowerCase() === 'content-type')?.value;
  return type?.split(';')[0]?.trim().toLowerCase() === eventStreamType;
}

/** The last bytes of an event stream, which tell whether it ends inside an event. */
export class EventStreamTail {
  #bytes = '';

  get isInsideEvent(): boolean {
    return this.#bytes !== '' && !/\n\r?\n$/.test(this.#bytes);
  }

  push(bytes: Uint8Array): void {
    const newest = Buffer.from(bytes.subarray(-longestEventEnd)).toString('latin1');
    this.#bytes = (this.#bytes + newest).slice(-longestEventEnd);
  }
}
