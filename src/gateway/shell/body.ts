import type { IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { createFailure, type Failure } from '../../common/index.js';

/** Reads the body of a caller's request, up to a maximum size. `onReceived` is called with the size so far. */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
  onReceived: (size: number) => void = () => undefined,
): Promise<Result<Buffer, Failure>> {
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    return createBodyTooLarge(maximumBytes);
  }
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        return createBodyTooLarge(maximumBytes);
      }
      chunks.push(chunk);
      onReceived(size);
    }
  } catch {
    return new Err(createFailure('cancelled', 'The caller broke off while it sent the body.'));
  }
  return new Ok(Buffer.concat(chunks));
}

/** A function rather than a constant: creating an `Err` captures a stack trace. */
function createBodyTooLarge(maximumBytes: number): Err<Failure> {
  return new Err(createFailure('bodyTooLarge', `At most ${maximumBytes} bytes.`));
}
