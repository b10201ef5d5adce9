import type { ServerResponse } from 'node:http';

/** The work of an upstream on one request that it received. Times in milliseconds of the monotonic clock. */

/** `closed`: the gateway closed the connection; `crashed`: the upstream ended. */
type WorkEnd = 'finished' | 'closed' | 'crashed';

export interface Work {
  readonly id: string;
  readonly startedAt: number;
  end: { readonly type: WorkEnd; readonly at: number } | undefined;
}

/** Begins the work on a request; it ends once the response has been sent or its connection is closed. */
export function beginWork(id: string, response: ServerResponse): Work {
  const work: Work = { id, startedAt: performance.now(), end: undefined };
  response.on('finish', () => {
    endWork(work, 'finished');
  });
  response.on('close', () => {
    endWork(work, 'closed');
  });
  return work;
}

/** Only the first end counts. */
export function endWork(work: Work, type: WorkEnd): void {
  work.end ??= { type, at: performance.now() };
}
