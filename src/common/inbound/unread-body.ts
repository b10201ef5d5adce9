import type { IncomingMessage } from 'node:http';

import type { Failure } from '../failure.js';

/**
 * Whether the body of the request was refused and has not arrived after all. What is left of it may never end, so the connection ends with
 * the response.
 */
export function isBodyUnread({ complete }: IncomingMessage, { code }: Failure): boolean {
  const isRefused = code === 'bodyTooLarge' || code === 'receptionFull' || code === 'bodyStalled';
  return isRefused && !complete;
}
