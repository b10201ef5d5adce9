import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { answerSoundly, PlainService, servicePaths } from '../platform/plain-service.js';
import { waitFor } from '../support/index.js';

let deployment: PlatformDeployment;
let service: PlainService;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, 1, 1000, undefined, {}, 'deployment');
  service = new PlainService(deployment, 2);
  await service.open(1);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

const parts = [
  'HTTP/1.1 200',
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Attempt-Id: ID\r\n',
  'HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nConnection: close\r\n',
  'HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nContent-Length: 5\r\n\r',
];

/** Lets each upstream answer its next request with a part of a head and end the connection. */
function answerWithPart(part: string, how: 'close' | 'reset'): { readonly count: () => number } {
  let count = 0;
  for (const upstream of service.upstreams) {
    upstream.handle = ({ socket, headers }) => {
      upstream.handle = answerSoundly;
      count += 1;
      socket.write(part.replace('ID', String(headers['x-attempt-id'])));
      if (how === 'close') {
        socket.end();
      } else {
        socket.resetAndDestroy();
      }
    };
  }
  return { count: () => count };
}

// Guards against a success with an empty or a short body for the head of a response that is not complete.
describe.each(parts)('a response that ends within its head: %j', (part) => {
  it.each(['close', 'reset'] as const)('is never a success without its body: %s', async (how) => {
    const faults = answerWithPart(part, how);
    const answers = await waitFor('the faulty responses to be used', async () => {
      const calls = [servicePaths.again, servicePaths.once].map((path) => service.call(0, path));
      const ended = await Promise.all(calls);
      return faults.count() > 0 ? ended : undefined;
    });
    for (const { status, body } of answers) {
      expect(status === 200 ? body : status).toBe(status === 200 ? 'sound' : 502);
    }
  });
});
