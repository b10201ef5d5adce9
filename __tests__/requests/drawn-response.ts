import type { RandomSource } from '../../src/common/index.js';

/** Draws what a faulty upstream may send: parts of responses in any order, with wrong bytes, in pieces of any size. */

export interface DrawnPart {
  readonly bytes: Buffer;
  /** Milliseconds before the part is sent. */
  readonly delay: number;
}

export interface DrawnResponse {
  readonly parts: readonly DrawnPart[];
  /** How the connection ends after the last part. */
  readonly ending: 'close' | 'reset';
}

const maximumPieces = 6;
const maximumCuts = 4;
const maximumDelay = 4;
const byteValues = 256;

const pieces = [
  'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone',
  'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf',
  'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwithout a length',
  'HTTP/1.0 200 OK\r\n\r\nwithout a length',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
  'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n',
  'HTTP/1.1 204 No Content\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n',
  'HTTP/1.1 000 OK\r\n\r\n',
  'HTTP/1.1 999 Unknown\r\nKeep-Alive: timeout=x\r\nContent-Length: 0\r\n\r\n',
  'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n',
  'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
  // Frames of HTTP/2: settings, a ping, and the end of the connection.
  '\0\0\0\x04\0\0\0\0\0',
  '\0\0\x08\x06\0\0\0\0\0aaaaaaaa',
  '\0\0\x08\x07\0\0\0\0\0\0\0\0\0\0\0\0\0',
  '4\r\ntext\r\n',
  '0\r\n\r\n',
  '0\r\nTrailer: a\r\n\r\n',
  '\r\n\r\n',
  'x'.repeat(70_000),
] as const;

export function drawResponse(random: RandomSource): DrawnResponse {
  const count = 1 + random.integerBelow(maximumPieces);
  const text = Array.from({ length: count }, () => pieces[random.integerBelow(pieces.length)]);
  const bytes = Buffer.from(text.join(''), 'latin1');
  if (random.integerBelow(2) === 0) {
    bytes[random.integerBelow(Math.min(bytes.length, 60))] = random.integerBelow(byteValues);
  }
  const parts = cut(bytes, random).map((part) => ({
    bytes: part,
    delay: random.integerBelow(maximumDelay),
  }));
  return { parts, ending: random.integerBelow(2) === 0 ? 'close' : 'reset' };
}

function cut(bytes: Buffer, random: RandomSource): readonly Buffer[] {
  const cuts = Array.from({ length: random.integerBelow(maximumCuts) }, () => {
    return random.integerBelow(bytes.length);
  });
  const places = [0, ...cuts.sort((one, other) => one - other), bytes.length];
  return places.slice(1).map((end, index) => bytes.subarray(places[index], end));
}
