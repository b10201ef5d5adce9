import { randomBytes } from 'node:crypto';

import { createClient } from '@connectrpc/connect';
import { createGrpcTransport } from '@connectrpc/connect-node';
import { afterEach, describe, expect, it } from 'vitest';

import { AttemptService } from '../../src/generated/pistachiospoke/v1/attempt_pb.js';
import { encodeRun } from '../../src/sidecar/attempts/wire.js';
import { waitFor } from '../support/index.js';
import { admit, Cleanup, incarnation, modelGroup, startSidecar, startUpstream } from './fixture.js';

const group = modelGroup('unused');
/** Random bytes, which connections cannot compress: more than they hold on their way, and less than the sidecar queues. */
const answer = randomBytes(200_000);
const order = {
  name: { requestId: '1-a', attempt: 1, incarnation },
  group: group.name,
  fencingNumber: group.fencingNumber,
  configurationRevision: 1,
  remaining: 60_000,
  account: 'desk',
  accountWeight: 1,
  priority: 5,
  isNonIdempotent: false,
};
const request = { method: 'GET', path: '/', headers: [], body: new Uint8Array(), affinityKey: '' };

let cleanup = new Cleanup();

afterEach(async () => {
  await cleanup.run();
  cleanup = new Cleanup();
});

describe('a sidecar whose upstream has answered', () => {
  // Failure: a stopping sidecar leaves with the end of an answer that a slow gateway has not read, and the answer is cut.
  it('owes the answer until the gateway has read it', async () => {
    const url = await startUpstream((_, response) => {
      response.end(answer);
    }, cleanup);
    const { service, address } = await startSidecar(url, admit(group), cleanup);
    const transport = createGrpcTransport({ baseUrl: `http://${address}` });
    const messages = createClient(AttemptService, transport).run(encodeRun(order, request));
    const reader = messages[Symbol.asyncIterator]();
    await reader.next();
    await waitFor('the upstream to have answered', () => service.unfinishedCount === 0);
    expect(service.owedCount).toBe(1);
    for (let next = await reader.next(); next.done !== true;) {
      next = await reader.next();
    }
    await waitFor('the answer to be read', () => service.owedCount === 0);
  });
});
