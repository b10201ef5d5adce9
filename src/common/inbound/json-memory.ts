/** Estimates the memory that a JSON text needs when it is parsed, which can be a hundred times its size. */

/** Text of a string: once decoded, and once more as a value. */
const bytesPerTextByte = 2;
/** An empty object, the largest value that takes only a few bytes of text, and its place in the list that has it. */
const bytesPerValue = 64;

const quote = 0x22;
const backslash = 0x5c;
const comma = 0x2c;
const openBracket = 0x5b;
const openBrace = 0x7b;

/** Upper bound in bytes; the text need not be valid. */
export function estimateJsonMemory(text: Uint8Array): number {
  let values = 1;
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
    } else if (byte === comma || byte === openBracket || byte === openBrace) {
      values += 1;
    }
  }
  return values * bytesPerValue + text.length * bytesPerTextByte;
}
