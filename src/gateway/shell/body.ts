import type { IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { createFailure, type Failure } from '../../common/index.js';

/** Reads the body of a caller's request, as far as it is not larger than allowed. */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, Failure>> {
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    return createTooLarge(maximumBytes);
  }
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        return createTooLarge(maximumBytes);
      }
      chunks.push(chunk);
    }
  } catch {
    return new Err(createFailure('cancelled', 'The caller broke off while it sent the body.'));
  }
  return new Ok(Buffer.concat(chunks));
}

/** Made only where it is needed: an `Err` takes a stack trace when it is made. */
function createTooLarge(maximumBytes: number): Err<Failure> {
  return new Err(createFailure('bodyTooLarge', `At most ${maximumBytes} bytes.`));
}
