import type { Failure } from '../common/index.js';

/**
 * Whether the body of the request was refused. What is left of it may never end, so the connection ends with the response, unless the request
 * has arrived after all.
 */
export function isBodyRefused({ code }: Failure): boolean {
  return code === 'bodyTooLarge' || code === 'receptionFull' || code === 'bodyStalled';
}
