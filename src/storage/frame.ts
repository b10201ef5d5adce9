import { crc32 } from 'node:zlib';

/**
 * Frames of a log file: a mark, the length and CRC-32 of the content, the content.
 * One frame is one batch, and no frame is begun before the one before it is synced; so after a crash only the very last
 * frame can be incomplete.
 */

const mark = Buffer.from('PSL1');
const headerLength = mark.length + 8;

/** What was read from one file. */
export interface DecodedFrames {
  readonly contents: readonly Buffer[];
  /** Length of the file up to the end of its last good frame. */
  readonly goodLength: number;
  /** `torn`: the last frame is incomplete; `damaged`: a good frame follows a bad one. */
  readonly end: 'whole' | 'torn' | 'damaged';
}

export function encodeFrame(content: Buffer): Buffer {
  const header = Buffer.alloc(headerLength);
  mark.copy(header);
  header.writeUInt32LE(content.length, mark.length);
  header.writeUInt32LE(crc32(content), mark.length + 4);
  return Buffer.concat([header, content]);
}

export function decodeFrames(file: Buffer): DecodedFrames {
  const contents: Buffer[] = [];
  let offset = 0;
  while (offset < file.length) {
    const content = decodeFrameAt(file, offset);
    if (content === undefined) {
      const end = hasFrameAfter(file, offset) ? 'damaged' : 'torn';
      return { contents, goodLength: offset, end };
    }
    contents.push(content);
    offset += headerLength + content.length;
  }
  return { contents, goodLength: offset, end: 'whole' };
}

function decodeFrameAt(file: Buffer, offset: number): Buffer | undefined {
  const contentStart = offset + headerLength;
  if (contentStart > file.length || !file.subarray(offset, offset + mark.length).equals(mark)) {
    return undefined;
  }
  const contentEnd = contentStart + file.readUInt32LE(offset + mark.length);
  if (contentEnd > file.length) {
    return undefined;
  }
  const content = file.subarray(contentStart, contentEnd);
  const checksum = file.readUInt32LE(offset + mark.length + 4);
  return crc32(content) === checksum ? content : undefined;
}

/** Looks for a good frame at any later place, since a damaged length tells nothing of where the next one begins. */
function hasFrameAfter(file: Buffer, badOffset: number): boolean {
  let offset = file.indexOf(mark, badOffset + 1);
  while (offset !== -1) {
    if (decodeFrameAt(file, offset) !== undefined) {
      return true;
    }
    offset = file.indexOf(mark, offset + 1);
  }
  return false;
}
