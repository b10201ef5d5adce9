import { describe, expect, it } from 'vitest';

import { portRange } from './ports.js';

/** Takes the place of a connection, so that no server is called. */
const dispatcher = {
  dispatch: () => {
    throw new Error('not sent');
  },
};

/** Why `fetch` did not call the port: it was blocked, or it reached the dispatcher. */
async function findRefusal(port: number): Promise<string> {
  const options = { dispatcher } as unknown as RequestInit;
  const error: unknown = await fetch(`http://127.0.0.1:${port}`, options).catch(
    (reason: unknown) => reason,
  );
  return error instanceof Error && error.cause instanceof Error ? error.cause.message : 'none';
}

describe('the ports of started programs', () => {
  // Guards against a gateway at a port that fetch blocks, so that a test never gets a response.
  it('can all be called with fetch', async () => {
    const refusals = new Set<string>();
    for (let offset = 0; offset < portRange.count; offset += 1) {
      refusals.add(await findRefusal(portRange.first + offset));
    }
    expect([...refusals]).toEqual(['not sent']);
  });
});
