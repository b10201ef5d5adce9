import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { EventReader, type EventFormat } from '../../src/gateway/events/index.js';

const numbered: EventFormat = {
  type: 'numbered',
  additionalFields: new Set(['x-weight-versions']),
};
const plain: EventFormat = { type: 'plain' };

interface ReadStream {
  readonly passed: string;
  readonly fault: string | undefined;
  readonly isWhole: boolean;
}

/** Reads the bytes in the given parts until a fault or the end. */
function read(reader: EventReader, parts: readonly Buffer[]): ReadStream {
  let passed = '';
  for (const part of parts) {
    const { bytes, fault } = reader.push(part);
    passed += Buffer.from(bytes).toString('latin1');
    if (fault !== undefined) {
      return { passed, fault, isWhole: false };
    }
  }
  if (reader.isInsideEvent) {
    return { passed, fault: undefined, isWhole: false };
  }
  passed += Buffer.from(reader.finish()).toString('latin1');
  return { passed, fault: undefined, isWhole: true };
}

function readText(format: EventFormat, text: string, expected?: number): ReadStream {
  return read(new EventReader(format, expected), [Buffer.from(text, 'latin1')]);
}

function event(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}

/** Cuts the text anywhere. */
function cutParts(text: string, unsorted: readonly number[]): readonly Buffer[] {
  const bytes = Buffer.from(text, 'latin1');
  const cuts = unsorted.map((cut) => cut % (bytes.length + 1)).sort((one, other) => one - other);
  const places = [0, ...cuts, bytes.length];
  return places.slice(1).map((end, index) => bytes.subarray(places[index], end));
}

const cuts = fc.array(fc.nat({ max: 1000 }), { maxLength: 12 });
const propertyOptions = { seed: 20_261_206, numRuns: 2000 };

// Guards against passing on as an event of a stream what does not belong to it.
describe('a reader of numbered events', () => {
  it.each([
    ['an event without an identifier', 'data: other\n\n', 'withoutId'],
    ['an event with an empty identifier', 'id:\ndata: other\n\n', 'withoutId'],
    ['an event with a blank identifier', 'id: \ndata: other\n\n', 'withoutId'],
    ['text', 'no event\n\n', 'malformed'],
    ['bytes', '\0\u00ff\u00fe\n\n', 'malformed'],
    ['the head of a response', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno', 'malformed'],
    ['a field that events do not have', 'Content-Length: 2\nid: 3\ndata: x\n\n', 'malformed'],
    ['text before an event', 'no event\nid: 3\ndata: token 3\n\n', 'malformed'],
    ['an earlier event', event(1), 'unexpectedId'],
    ['the same event again', event(2), 'unexpectedId'],
    ['a later event', event(4), 'unexpectedId'],
    ['a word as the identifier', 'id: abc\ndata: x\n\n', 'invalidId'],
    ['a negative number', 'id: -3\ndata: x\n\n', 'invalidId'],
    ['a fraction', 'id: 3.0\ndata: x\n\n', 'invalidId'],
    ['leading zeros', 'id: 003\ndata: x\n\n', 'invalidId'],
    ['a second blank', 'id:  3\ndata: x\n\n', 'invalidId'],
    ['too many digits', 'id: 30000000000000000000\ndata: x\n\n', 'invalidId'],
    ['two identifiers', 'id: 3\nid: 3\ndata: x\n\n', 'invalidId'],
    ['an event without data', 'id: 3\n\n', 'withoutData'],
    ['lines that end with a carriage return', 'data: other\r\r', 'withoutId'],
    ['the end marker of other streams', 'data: [DONE]\n\n', 'withoutId'],
  ])('refuses %s and passes on what came before, however cut', (_, text, fault) => {
    const sound = event(1) + event(2);
    fc.assert(
      fc.property(cuts, (places) => {
        const parts = cutParts(`${sound}${text}${event(3)}`, places);
        const result = read(new EventReader(numbered, 1), parts);
        expect(result).toEqual({ passed: sound, fault, isWhole: false });
      }),
      propertyOptions,
    );
  });

  it.each([
    ['line feeds', event(1) + event(2)],
    ['pairs of both line ends', 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n'],
    ['carriage returns', 'id: 1\rdata: a\r\rid: 2\rdata: b\r\r'],
    ['a version before the identifier', `x-weight-versions: 7\n${event(1)}${event(2)}`],
    ['all fields', 'id:1\nevent: token\nretry: 10\ndata: a\ndata: b\n\n'],
    ['comments in an event', 'id: 1\n: comment\ndata: a\n\n'],
    ['a byte order mark', `\u00ef\u00bb\u00bf${event(1)}`],
    ['text of several bytes for a character', 'id: 1\ndata: \u00e2\u0082\u00ac\n\n'],
  ])('passes on events with %s unchanged, however cut', (_, text) => {
    fc.assert(
      fc.property(cuts, (places) => {
        const result = read(new EventReader(numbered, 1), cutParts(text, places));
        expect(result).toEqual({ passed: text, fault: undefined, isWhole: true });
      }),
      propertyOptions,
    );
  });

  it('drops comments between events, which have no number', () => {
    const text = `: comment\n\n${event(1)}\n: comment\n\n${event(2)}: comment\n`;
    const whole = { passed: event(1) + event(2), fault: undefined };
    expect(readText(numbered, text, 1)).toMatchObject(whole);
  });

  it.each(['id: 3', 'id: 3\ndata: token', 'id: 3\ndata: token\n', 'no event', 'id: 3\r'])(
    'does not take a stream for whole that ends with %j',
    (rest) => {
      const sound = event(1) + event(2);
      const broken = { passed: sound, fault: undefined, isWhole: false };
      expect(readText(numbered, sound + rest, 1)).toEqual(broken);
    },
  );

  // Guards against a stream that passes for a whole one although its upstream sent none of its events.
  it.each([
    ['nothing', 1, '', true],
    ['a comment', 1, ': comment\n\n', true],
    ['blank lines', 1, '\n\r', true],
    ['its only event', 1, event(1), false],
    ['an event whose last line may go on', 1, 'id: 1\ndata: token\n\r', false],
    ['nothing after the event at which it is resumed', 5, '', false],
    ['nothing, where the first number is not known', undefined, '', false],
  ])('is incomplete without the first event: %s', (_, expected, text, isIncomplete) => {
    const reader = new EventReader(numbered, expected);
    reader.push(Buffer.from(text));
    expect(reader.isIncomplete).toBe(isIncomplete);
  });

  it('takes any number for the first one if none is expected', () => {
    expect(readText(numbered, event(7) + event(8))).toMatchObject({ isWhole: true });
    expect(readText(numbered, event(7) + event(9))).toMatchObject({ fault: 'unexpectedId' });
  });

  it('tells the identifier of the last event that belongs to the stream', () => {
    const reader = new EventReader(numbered, 4);
    reader.push(Buffer.from(`${event(4)}${event(5)}id: 6\ndata: tok`));
    expect(reader.lastEventId).toBe('5');
    reader.push(Buffer.from('en 6\n\nid: 9\ndata: x\n\n'));
    expect(reader.lastEventId).toBe('6');
  });
});

describe('a reader of plain events', () => {
  it('passes on whole events only, holds [DONE] back to the end, and loses no byte', () => {
    const text =
      'data: {"a":1}\n\n: comment\n\nretry: 5\n\nid: x\nx-field: y\ndata: {"b":2}\r\n\r\ndata: [DONE]\n\n';
    fc.assert(
      fc.property(cuts, (places) => {
        const reader = new EventReader(plain);
        let passed = '';
        for (const part of cutParts(text, places)) {
          passed += Buffer.from(reader.push(part).bytes).toString('latin1');
          expect(passed === '' || /\n\r?\n$/.test(passed)).toBe(true);
          expect(passed).not.toContain('[DONE]');
        }
        expect(passed + Buffer.from(reader.finish()).toString('latin1')).toBe(text);
      }),
      propertyOptions,
    );
  });

  it.each([
    ['text', 'no event\n\n', 'malformed'],
    ['the head of a response', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno', 'malformed'],
    ['an event after the last one', 'data: [DONE]\n\ndata: more\n\n', 'afterEnd'],
  ])('refuses %s', (_, text, fault) => {
    const sound = 'data: one\n\n';
    expect(readText(plain, sound + text)).toEqual({ passed: sound, fault, isWhole: false });
  });

  it.each(['data: two', 'data: two\n', 'data: [DONE]\n'])(
    'does not take a stream for whole that ends with %j',
    (rest) => {
      const broken = { passed: 'data: one\n\n', fault: undefined, isWhole: false };
      expect(readText(plain, `data: one\n\n${rest}`)).toEqual(broken);
    },
  );
});

// Guards against an event loop that stands still for seconds, since each byte of a long line makes the reader go through all of it.
describe('a long event that arrives byte by byte', () => {
  const length = 256 * 1024;
  const timeout = 10_000;

  it.each([
    ['one line', 'x'.repeat(length)],
    ['many lines', 'x\ndata: '.repeat(length / 8)],
    ['many lines with pairs of line ends', 'x\r\ndata: '.repeat(length / 9)],
  ])(
    'is read in time: %s',
    (_, data) => {
      const text = `data: ${data}\n\n`;
      const reader = new EventReader({ type: 'plain' });
      const read = Array.from(Buffer.from(text), (byte) => reader.push(Buffer.of(byte)));
      expect(Buffer.concat(read.map(({ bytes }) => bytes)).toString()).toBe(text);
      expect(read.every(({ fault }) => fault === undefined)).toBe(true);
    },
    timeout,
  );
});
