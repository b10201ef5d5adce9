import { describe, expect, it } from 'vitest';

import { estimateJsonMemory, measureJson } from '../../src/common/index.js';
import { BodyStorage } from '../../src/common/inbound/index.js';
import { MessageSizes } from '../../src/wire/message-sizes.js';

/** Stores pieces; returns what was reserved and the joined body. */
function store(pieces: readonly Buffer[], length?: number): { reserved: number; body: Buffer } {
  let reserved = 0;
  const storage = new BodyStorage((bytes) => {
    reserved += bytes;
    return true;
  });
  if (length !== undefined) {
    storage.allocate(length);
  }
  for (const piece of pieces) {
    expect(storage.append(piece)).toBe(true);
  }
  return { reserved, body: storage.join() ?? Buffer.alloc(0) };
}

// Guards against bodies that are stored with other bytes than were sent, or that cost more than what is reserved for them.
describe('the storage of a body', () => {
  it.each([1, 7, 4096, 70_000])('joins pieces of %i bytes as they were sent', (size) => {
    const body = Buffer.from(Array.from({ length: 200_000 }, (_, index) => index % 251));
    const pieces = Array.from({ length: Math.ceil(body.length / size) }, (_, index) =>
      body.subarray(index * size, (index + 1) * size),
    );
    const chunked = store(pieces);
    expect(chunked.body.equals(body)).toBe(true);
    expect(chunked.reserved).toBeLessThan(3 * body.length);
    const announced = store(pieces, body.length);
    expect(announced.body.equals(body)).toBe(true);
    expect(announced.reserved).toBe(body.length);
  });

  it('takes nothing that has not been reserved', () => {
    let available = 4096;
    const storage = new BodyStorage((bytes) => {
      available -= bytes;
      return available >= 0;
    });
    expect(storage.append(Buffer.alloc(4096))).toBe(true);
    expect(storage.append(Buffer.alloc(1))).toBe(false);
  });
});

// Guards against texts that take a hundred times their size once they are parsed.
describe('the estimated memory of a JSON text', () => {
  it('counts values, but not what is inside strings', () => {
    const many = Buffer.from(`[${'{},'.repeat(1000)}{}]`);
    expect(estimateJsonMemory(many)).toBeGreaterThan(64 * 2000);
    const text = Buffer.from(JSON.stringify('{},\\"'.repeat(1000)));
    expect(estimateJsonMemory(text)).toBeLessThan(3 * text.length);
  });

  it.each([
    ['1', 1, 0],
    ['[[],{"a":[1]},"[["]', 7, 3],
    ['[1,2]', 3, 1],
  ])('is of the values of %s, and of how deep they are nested', (text, values, depth) => {
    expect(measureJson(Buffer.from(text))).toEqual({ values, depth });
  });
});

// Guards against messages on streams whose memory is not accounted for, or is never released.
describe('the sizes of messages', () => {
  const message = Buffer.concat([Buffer.from([0, 0, 0, 0, 3]), Buffer.from('abc')]);

  it('are complete at the end of each message, wherever the pieces end', () => {
    const stream = Buffer.concat([message, message, Buffer.from([0, 0, 0, 0, 0])]);
    for (let size = 1; size <= stream.length; size += 1) {
      const sizes = new MessageSizes(false);
      for (let at = 0; at < stream.length; at += size) {
        sizes.push(stream.subarray(at, at + size));
      }
      expect(sizes.incompleteBytes).toBe(0);
    }
  });

  it('grow while a message arrives', () => {
    const sizes = new MessageSizes(false);
    sizes.push(message.subarray(0, 7));
    expect(sizes.incompleteBytes).toBe(7);
    const unary = new MessageSizes(true);
    unary.push(message);
    expect(unary.incompleteBytes).toBe(message.length);
  });
});
