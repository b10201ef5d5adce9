import type { EventFault, EventFormat } from './event-format.js';

/** Checks the fields of one event. */

const standardFields: ReadonlySet<string> = new Set(['event', 'data', 'id', 'retry']);
/** Receivers ignore fields that they do not know. */
const fieldName = /^[\w-]+$/;
/** Decimal digits without leading zeros, few enough for an exact number. */
const eventNumber = /^(?:0|[1-9]\d{0,14})$/;
const endMarker = '[DONE]';

/** Returns undefined if the identifier is no number. */
function parseEventNumber(identifier: string): number | undefined {
  return eventNumber.test(identifier) ? Number(identifier) : undefined;
}

/** Number of the first event of a stream that is resumed after the given one, if at all; undefined if that one has no number. */
export function findFirstNumber(resumeAfter: string | undefined): number | undefined {
  const last = resumeAfter === undefined ? 0 : parseEventNumber(resumeAfter);
  return last === undefined ? undefined : last + 1;
}

export class EventFields {
  readonly #format: EventFormat;
  #identifierCount = 0;
  #identifier: string | undefined;
  #number: number | undefined;
  #dataCount = 0;
  #isEndMarker = false;
  #hasFields = false;

  constructor(format: EventFormat) {
    this.#format = format;
  }

  /** Whether there are no lines but comments, which make up no event. */
  get isEmpty(): boolean {
    return !this.#hasFields;
  }

  /** Whether this event is the last of its stream. */
  get isEnd(): boolean {
    return this.#format.type === 'plain' && this.#dataCount === 1 && this.#isEndMarker;
  }

  /** Undefined if there is none. */
  get identifier(): string | undefined {
    return this.#identifier;
  }

  /** The identifier as a number; undefined if it is none. */
  get number(): number | undefined {
    return this.#number;
  }

  /** Takes a line without its end. */
  addLine(line: string): EventFault | undefined {
    const colon = line.indexOf(':');
    if (colon === 0) {
      return undefined;
    }
    const name = colon < 0 ? line : line.slice(0, colon);
    if (!this.#isField(name, colon > 0)) {
      return 'malformed';
    }
    this.#hasFields = true;
    const value = colon < 0 ? '' : line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1);
    if (name === 'id') {
      this.#identifierCount += 1;
      this.#identifier = value;
      this.#number = parseEventNumber(value);
    } else if (name === 'data') {
      this.#dataCount += 1;
      this.#isEndMarker = value === endMarker;
    }
    return undefined;
  }

  /** Checks the whole event. `expected`: its number; undefined if that is not known. */
  findFault(expected: number | undefined): EventFault | undefined {
    if (this.#format.type === 'plain') {
      return undefined;
    }
    if ((this.#identifier ?? '') === '' && this.#identifierCount <= 1) {
      return 'withoutId';
    }
    if (this.#number === undefined || this.#identifierCount > 1) {
      return 'invalidId';
    }
    if (expected !== undefined && this.#number !== expected) {
      return 'unexpectedId';
    }
    return this.#dataCount === 0 ? 'withoutData' : undefined;
  }

  #isField(name: string, hasColon: boolean): boolean {
    if (standardFields.has(name)) {
      return true;
    }
    return this.#format.type === 'numbered'
      ? this.#format.additionalFields.has(name)
      : hasColon && fieldName.test(name);
  }
}
