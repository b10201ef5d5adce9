import type { DescMessage } from '@bufbuild/protobuf';
import { WireType } from '@bufbuild/protobuf/wire';

import { findField, type Shape } from './message-shape.js';

/**
 * Counts what an encoded message consists of while it arrives, in pieces of any size, without keeping it. An entry of a list may have two bytes,
 * and takes a hundred once it is decoded. Bytes that the decoder may read in another way are an error: what they hold would not be counted.
 */

const tagTypeBits = 3;
const tagTypeMask = 0x7;
const variableBits = 7;
const variableMask = 0x7f;
const continuationBit = 0x80;
/** By the numbers in tags. Groups are not used. */
const wireTypes: readonly (WireType | undefined)[] = [
  WireType.Varint,
  WireType.Bit64,
  WireType.LengthDelimited,
  undefined,
  undefined,
  WireType.Bit32,
];
/** Tags and lengths have 32 bits; the decoder ignores what is beyond. */
const numberRange = 2 ** 32;
const fixed32Bytes = 4;
const fixed64Bytes = 8;

/** A message or an entry of a map; the outermost message ends with the last piece. */
interface OpenShape {
  readonly shape: Shape;
  readonly end: number;
}

/** What a number of variable length that is being read is for. */
type NumberUse =
  | { readonly type: 'tag' }
  | { readonly type: 'value' }
  | { readonly type: 'length'; readonly inner: Shape | undefined };

const tag: NumberUse = { type: 'tag' };

/** The bytes are no message of the kind that is expected. */
export class MalformedMessageError extends Error {}

export class EntryCounter {
  readonly #outer: OpenShape[] = [];
  #current: OpenShape;
  #count = 0;
  /** Bytes that have been read. */
  #position = 0;
  /** Bytes before it need not be looked at. */
  #skipTo = 0;
  #use: NumberUse = tag;
  #number = 0;
  #factor = 1;

  constructor(message: DescMessage) {
    this.#current = { shape: message, end: Number.POSITIVE_INFINITY };
  }

  /** Fields of the message so far, and of those inside it. */
  get count(): number {
    return this.#count;
  }

  push(bytes: Uint8Array): void {
    const start = this.#position;
    const end = start + bytes.length;
    while (this.#position < end) {
      if (this.#position < this.#skipTo) {
        this.#position = Math.min(end, this.#skipTo);
      } else {
        this.#takeByte(bytes[this.#position - start] ?? 0);
      }
    }
  }

  #takeByte(byte: number): void {
    if (this.#use === tag && this.#factor === 1) {
      this.#closeShapes();
    }
    this.#position += 1;
    if (this.#factor < numberRange) {
      this.#number += (byte & variableMask) * this.#factor;
    }
    if (byte >= continuationBit) {
      this.#factor *= 1 << variableBits;
      return;
    }
    const number = this.#number % numberRange;
    this.#number = 0;
    this.#factor = 1;
    this.#takeNumber(number);
  }

  #takeNumber(number: number): void {
    const use = this.#use;
    this.#use = tag;
    switch (use.type) {
      case 'tag':
        this.#beginField(number >>> tagTypeBits, wireTypes[number & tagTypeMask]);
        break;
      case 'value':
        break;
      case 'length':
        this.#takeLength(number, use.inner);
        break;
    }
    if (Math.max(this.#position, this.#skipTo) > this.#current.end) {
      throw new MalformedMessageError('a field is longer than what it is inside of');
    }
  }

  #beginField(number: number, wireType: WireType | undefined): void {
    this.#count += 1;
    const expected = findField(this.#current.shape, number);
    if (expected !== undefined && expected.wireType !== wireType) {
      throw new MalformedMessageError('a field is not encoded as expected');
    }
    switch (wireType) {
      case WireType.Varint:
        this.#use = { type: 'value' };
        break;
      case WireType.LengthDelimited:
        this.#use = { type: 'length', inner: expected?.inner };
        break;
      case WireType.Bit32:
        this.#skipTo = this.#position + fixed32Bytes;
        break;
      case WireType.Bit64:
        this.#skipTo = this.#position + fixed64Bytes;
        break;
      case WireType.StartGroup:
      case WireType.EndGroup:
      case undefined:
        throw new MalformedMessageError('a field is of an unknown type');
    }
  }

  #takeLength(length: number, inner: Shape | undefined): void {
    const end = this.#position + length;
    if (inner === undefined) {
      this.#skipTo = end;
      return;
    }
    if (end > this.#current.end) {
      throw new MalformedMessageError('a message is longer than what it is inside of');
    }
    this.#outer.push(this.#current);
    this.#current = { shape: inner, end };
  }

  #closeShapes(): void {
    while (this.#current.end <= this.#position) {
      this.#current = this.#outer.pop() ?? this.#current;
    }
  }
}
