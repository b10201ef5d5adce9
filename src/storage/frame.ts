import { crc32 } from 'node:zlib';

/**
 * Frame format of log files: magic bytes, length of the content, CRC-32 of the content, content.
 * Each frame holds one batch. A frame is written only after the previous one is synced, so after a crash only the last
 * frame can be incomplete.
 */

const magic = Buffer.from('PSL1');
const headerLength = magic.length + 8;

/** Result of decoding one file. */
export interface DecodedFrames {
  readonly contents: readonly Buffer[];
  /** Offset of the end of the last valid frame before the first invalid one. */
  readonly validLength: number;
  /** `torn`: the last frame is incomplete; `damaged`: a valid frame follows an invalid one. */
  readonly end: 'whole' | 'torn' | 'damaged';
}

export function encodeFrame(content: Buffer): Buffer {
  const header = Buffer.alloc(headerLength);
  magic.copy(header);
  header.writeUInt32LE(content.length, magic.length);
  header.writeUInt32LE(crc32(content), magic.length + 4);
  return Buffer.concat([header, content]);
}

export function decodeFrames(file: Buffer): DecodedFrames {
  const contents: Buffer[] = [];
  let offset = 0;
  while (offset < file.length) {
    const content = decodeFrameAt(file, offset);
    if (content === undefined) {
      const end = hasFrameAfter(file, offset) ? 'damaged' : 'torn';
      return { contents, validLength: offset, end };
    }
    contents.push(content);
    offset += headerLength + content.length;
  }
  return { contents, validLength: offset, end: 'whole' };
}

function decodeFrameAt(file: Buffer, offset: number): Buffer | undefined {
  const contentStart = offset + headerLength;
  if (contentStart > file.length || !file.subarray(offset, offset + magic.length).equals(magic)) {
    return undefined;
  }
  const contentEnd = contentStart + file.readUInt32LE(offset + magic.length);
  if (contentEnd > file.length) {
    return undefined;
  }
  const content = file.subarray(contentStart, contentEnd);
  const checksum = file.readUInt32LE(offset + magic.length + 4);
  return crc32(content) === checksum ? content : undefined;
}

/** Searches every later offset for a valid frame, since a corrupt length does not tell where the next frame begins. */
function hasFrameAfter(file: Buffer, badOffset: number): boolean {
  let offset = file.indexOf(magic, badOffset + 1);
  while (offset !== -1) {
    if (decodeFrameAt(file, offset) !== undefined) {
      return true;
    }
    offset = file.indexOf(magic, offset + 1);
  }
  return false;
}
