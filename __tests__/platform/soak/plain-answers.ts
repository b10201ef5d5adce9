import type { IncomingMessage, ServerResponse } from 'node:http';

import { beginWork, type Work } from '../work.js';

/** Answers of a plain upstream. Header fields of the request set their size and the time until they are ready, in milliseconds. */

export const plainHeaders = { bytes: 'x-answer-bytes', workTime: 'x-answer-milliseconds' } as const;

/** A handler that notes its work in the given list. */
export function createPlainAnswers(
  work: Work[],
): (request: IncomingMessage, response: ServerResponse) => void {
  return ({ headers }, response) => {
    const id = String(headers['x-attempt-id']);
    work.push(beginWork(id, response));
    const bytes = Number(headers[plainHeaders.bytes] ?? 0);
    setTimeout(
      () => {
        response.writeHead(200, {
          'x-attempt-id': id,
          'x-response-seal': `seal of ${id}`,
          'content-length': bytes,
        });
        response.end('.'.repeat(bytes));
      },
      Number(headers[plainHeaders.workTime] ?? 0),
    );
  };
}
