/** Bounds what a JSON text needs when it is parsed, which can be a hundred times its size. */

/** Text of a string: once decoded, and once more as a value. */
const bytesPerTextByte = 2;
/** An empty object, the largest value that takes only a few bytes of text, and its place in the list that has it. */
const bytesPerValue = 64;

const quote = 0x22;
const backslash = 0x5c;
const comma = 0x2c;
const openBracket = 0x5b;
const closeBracket = 0x5d;
const openBrace = 0x7b;
const closeBrace = 0x7d;

/** Upper bounds for a JSON text. */
export interface JsonSize {
  readonly values: number;
  /** Lists and objects that are inside one another. */
  readonly depth: number;
}

/** Measures a text without parsing it; it need not be valid. */
export function measureJson(text: Uint8Array): JsonSize {
  let values = 1;
  let open = 0;
  let depth = 0;
  let isInString = false;
  for (let at = 0; at < text.length; at += 1) {
    const byte = text[at];
    if (isInString) {
      if (byte === backslash) {
        at += 1;
      } else if (byte === quote) {
        isInString = false;
      }
    } else if (byte === quote) {
      isInString = true;
    } else if (byte === comma) {
      values += 1;
    } else if (byte === openBracket || byte === openBrace) {
      values += 1;
      open += 1;
      depth = Math.max(depth, open);
    } else if (byte === closeBracket || byte === closeBrace) {
      open -= 1;
    }
  }
  return { values, depth };
}

/** Upper bound in bytes of the memory that the parsed text takes. */
export function estimateJsonMemory(text: Uint8Array): number {
  return measureJson(text).values * bytesPerValue + text.length * bytesPerTextByte;
}
