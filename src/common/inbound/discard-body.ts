import type { IncomingMessage } from 'node:http';

import type { Milliseconds } from '../time.js';

/** Reads what is left of a body that nobody needs: a client that is still sending may read its response only after that. */

/** No client that keeps to the usual limits sends more after it has been refused. */
const maximumBytes = 4 * 1024 * 1024;
/** What a piece costs beside its bytes, in bytes that could be read instead. */
const pieceBytes = 256;
const maximumPeriod: Milliseconds = 5000;
/** What a client has not read of its response when its connection is reset is lost; one that sends too much gets this time for it. */
const lingerPeriod: Milliseconds = 500;

/** Discards the rest of the body; calls `onEnd` with whether all of it has been read. */
export function discardBody(request: IncomingMessage, onEnd: (isRead: boolean) => void): void {
  if (request.complete || request.destroyed) {
    request.resume();
    onEnd(true);
    return;
  }
  let size = 0;
  const finish = (): void => {
    clearTimeout(timer);
    request.off('data', count).off('close', finish).off('end', finish);
    onEnd(request.complete || request.destroyed);
  };
  const count = (bytes: Buffer): void => {
    size += bytes.length + pieceBytes;
    if (size > maximumBytes) {
      request.off('data', count).pause();
      clearTimeout(timer);
      timer = setTimeout(finish, lingerPeriod);
    }
  };
  let timer = setTimeout(finish, maximumPeriod);
  // Marks the body as being read: Node would otherwise read the rest of it without end once the response has been sent.
  request.read(0);
  request.on('data', count).once('end', finish).once('close', finish).resume();
}
