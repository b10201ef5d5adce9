import { ByteBuffer } from '../../common/index.js';
import { EventFields } from './event-fields.js';
import type { EventFault, EventFormat } from './event-format.js';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const noBytes = Buffer.alloc(0);
/** As Latin-1; a stream may begin with it. */
const byteOrderMark = '\u00ef\u00bb\u00bf';

/** Whole events that belong to the stream. */
export interface ReadEvents {
  readonly bytes: Uint8Array;
  /** What is wrong with the event after them; nothing that follows belongs to the stream. */
  readonly fault: EventFault | undefined;
}

/**
 * Reads a stream of server-sent events and returns the events that belong to it.
 *
 * A receiver takes whatever ends with a blank line for an event. But a response may break inside an event, and a faulty upstream may send
 * other bytes on a connection that works.
 *
 * The event that ends a stream is held back until the response is complete, since a caller takes a stream with it for a whole one.
 */
export class EventReader {
  readonly #format: EventFormat;
  /** Number of the next event; undefined if it is not known. */
  #expected: number | undefined;
  readonly #held = new ByteBuffer();
  /** Offset in the bytes held of the first line that has not been read. */
  #lineStart = 0;
  /** Offset from which the search for the end of that line goes on. */
  #searchedTo = 0;
  /** Size of the comments and blank lines since the last event that were taken out of the bytes held. */
  #skippedBytes = 0;
  /** Whether a byte order mark may come next; not where a stream is resumed. */
  #isFirstLine: boolean;
  #fields: EventFields;
  #hasEnded = false;
  #lastEventId: string | undefined;

  /** `expected`: number of the first event, if events are numbered; undefined if it is not known. */
  constructor(format: EventFormat, expected?: number) {
    this.#format = format;
    this.#expected = expected;
    this.#isFirstLine = expected === undefined || expected === 1;
    this.#fields = new EventFields(format);
  }

  /** Number of bytes currently held back. */
  get heldBytes(): number {
    return this.#held.length;
  }

  /** Number of bytes since the last whole event. */
  get bytesSinceEvent(): number {
    return this.#skippedBytes + this.#held.length;
  }

  /** Identifier of the last event that has one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Adds bytes and returns the events that they complete. Must not be called after a fault. */
  push(bytes: Uint8Array): ReadEvents {
    this.#held.append(bytes);
    const events: Buffer[] = [];
    for (let line = this.#readLine(); line !== undefined; line = this.#readLine()) {
      const fault = line === '' ? this.#endBlock() : this.#fields.addLine(line);
      if (fault !== undefined) {
        this.#held.clear();
        return { bytes: join(events), fault };
      }
      if (line === '') {
        events.push(this.#takeBlock());
      }
    }
    return { bytes: join(events), fault: undefined };
  }

  /** Whether the response would end inside an event, or with one that does not belong to the stream. */
  get isInsideEvent(): boolean {
    if (this.#hasLastReturn) {
      return this.#findFault() !== undefined;
    }
    return !this.#fields.isEmpty || this.#held.length > this.#lineStart;
  }

  /** Whether the response would end inside an event, or before the first one of a stream that begins with it. */
  get isIncomplete(): boolean {
    const endsFirstEvent = this.#hasLastReturn && !this.#fields.isEmpty;
    return this.isInsideEvent || (this.#isBeforeFirst && !endsFirstEvent);
  }

  /** Returns the bytes held back; called when the response is complete and does not end inside an event. */
  finish(): Uint8Array {
    return this.#findPassed(this.#held.bytes, !this.#fields.isEmpty);
  }

  /** Whether the first event of a numbered stream is still to come. The run of a stream that is resumed may have no events left. */
  get #isBeforeFirst(): boolean {
    return this.#format.type === 'numbered' && this.#expected === 1;
  }

  /** Whether the last line is blank and ends with a carriage return, which a line feed could have followed. */
  get #hasLastReturn(): boolean {
    const isLast = this.#held.length === this.#lineStart + 1;
    return isLast && this.#held.bytes[this.#lineStart] === carriageReturn;
  }

  /** Returns the next line without its end; undefined if it is not complete. */
  #readLine(): string | undefined {
    const { bytes } = this.#held;
    const end = findLineEnd(bytes, this.#searchedTo);
    if (end === undefined) {
      // A carriage return at the end has to be seen again with the byte after it.
      this.#searchedTo = bytes.at(-1) === carriageReturn ? bytes.length - 1 : bytes.length;
      return undefined;
    }
    const line = bytes.toString('latin1', this.#lineStart, end);
    const isPair = bytes[end] === carriageReturn && bytes[end + 1] === lineFeed;
    this.#lineStart = end + (isPair ? 2 : 1);
    this.#searchedTo = this.#lineStart;
    const isFirst = this.#isFirstLine;
    this.#isFirstLine = false;
    return isFirst && line.startsWith(byteOrderMark) ? line.slice(byteOrderMark.length) : line;
  }

  /** Handles the blank line after an event, or after comments. */
  #endBlock(): EventFault | undefined {
    const fields = this.#fields;
    const fault = this.#findFault();
    if (fields.isEmpty || fault !== undefined) {
      return fault;
    }
    this.#hasEnded = fields.isEnd;
    this.#lastEventId = fields.identifier ?? this.#lastEventId;
    this.#expected = fields.number === undefined ? undefined : fields.number + 1;
    return undefined;
  }

  #findFault(): EventFault | undefined {
    if (this.#fields.isEmpty) {
      return undefined;
    }
    return this.#hasEnded ? 'afterEnd' : this.#fields.findFault(this.#expected);
  }

  /** Takes the event that has just ended, or comments, out of the bytes held. Returns nothing if it must not be passed on, or not yet. */
  #takeBlock(): Buffer {
    const isEvent = !this.#fields.isEmpty;
    this.#fields = new EventFields(this.#format);
    if (this.#hasEnded) {
      return noBytes;
    }
    const block = this.#held.take(this.#lineStart);
    this.#skippedBytes = isEvent ? 0 : this.#skippedBytes + block.length;
    this.#lineStart = 0;
    this.#searchedTo = 0;
    return this.#findPassed(block, isEvent);
  }

  /** Comments have no number, so a stream of numbered events is passed on without them. */
  #findPassed(block: Buffer, isEvent: boolean): Buffer {
    return isEvent || this.#format.type === 'plain' ? block : noBytes;
  }
}

/** Offset of the first line end from `start` on; undefined if there is none, or only the first half of one. */
function findLineEnd(buffer: Buffer, start: number): number | undefined {
  for (let at = start; at < buffer.length; at += 1) {
    if (buffer[at] === lineFeed) {
      return at;
    }
    if (buffer[at] === carriageReturn) {
      // Both together are one line end.
      return at + 1 < buffer.length ? at : undefined;
    }
  }
  return undefined;
}

function join(events: readonly Buffer[]): Buffer {
  const [first = noBytes, ...others] = events.filter(({ length }) => length > 0);
  return others.length === 0 ? first : Buffer.concat([first, ...others]);
}
