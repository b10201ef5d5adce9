import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import {
  PlainService,
  answerSoundly,
  routeTimeout,
  servicePaths,
} from '../platform/plain-service.js';
import { waitFor } from '../support/index.js';

/** By how much an answer may be later than the timeout of its route, in milliseconds. */
const lateness = 500;
const bystanderCount = 10;

let deployment: PlatformDeployment;
let service: PlainService;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(2, 1, 1000, undefined, {}, 'deployment');
  service = new PlainService(deployment, 2);
  await service.open(1);
});

afterAll(async () => {
  await service.close();
  await deployment.stop();
});

/** Messages of failed assertions in the output of a program. */
function listAssertions(output: string): readonly string[] {
  return [...output.matchAll(/"error":"([^"]*)","code":"ERR_ASSERTION"/g)].map(
    ([, message = '']) => message,
  );
}

/** Message of a failed assertion for which no source was read. */
const plainMessage = 'an assertion failed';

const faultyHeads = {
  'a status of 000': 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nno',
  'a status of 099': 'HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nno',
  'a status of 101': 'HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\nno',
  'a switch of protocols': 'HTTP/1.1 101 OK\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n',
  'an interim response as its last': 'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n\r\n',
};

// Guards against a deployed program that stands still for seconds while it works out the message of a failed assertion.
describe.each(Object.entries(faultyHeads))('a response with %s', (_, bytes) => {
  it('delays no other request of its gateway', async () => {
    const [faulty] = service.upstreams;
    if (faulty === undefined) {
      throw new Error('there is no upstream');
    }
    let faultCount = 0;
    faulty.handle = ({ socket }) => {
      faultCount += 1;
      faulty.handle = answerSoundly;
      socket.write(bytes);
    };
    const answers = await waitFor('the faulty response to be used', async () => {
      const calls = Array.from({ length: bystanderCount }, () =>
        service.call(0, servicePaths.again),
      );
      const ended = await Promise.all(calls);
      return faultCount > 0 ? ended : undefined;
    });
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    expect(answers.filter(({ duration }) => duration > routeTimeout + lateness)).toEqual([]);
    const messages = listAssertions(deployment.gatewayProgram(0).output);
    expect(messages.filter((message) => message !== plainMessage)).toEqual([]);
  });
});

// Guards against a gateway that ends when an upstream closes its connection while slow clients keep the gateway from reading.
describe('responses that end with their connection, to clients that read slowly', () => {
  /** The kernel takes some 4 MB for a client that does not read. */
  const sizes = Array.from({ length: 12 }, (_, index) => 3_600_000 + index * 80_000);
  const readAfter = 700;

  it('reach them whole, and end no gateway', async () => {
    const bodies = sizes.map((size) => 'x'.repeat(size));
    for (const upstream of service.upstreams) {
      upstream.handle = (request, response) => {
        const id = String(request.headers['x-attempt-id']);
        const fields = { 'x-attempt-id': id, 'x-response-seal': 'seal', connection: 'close' };
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, fields).end(bodies.pop() ?? '');
      };
    }
    const answers = await Promise.all(
      sizes.map(() => service.call(0, servicePaths.again, readAfter)),
    );
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
    const received = answers.map(({ body }) => body.length).sort((one, other) => one - other);
    expect(received).toEqual(sizes);
    expect(deployment.gatewayProgram(0).isRunning).toBe(true);
  });
});

// Guards against a deployed sidecar that stands still for seconds, and lets its group be given up, at one wrong byte of its engine.
describe('a sidecar whose engine answers a call with a status of 000', () => {
  it.each(['report', 'health', 'order'] as const)(
    'reads no source of its program: %s',
    async (call) => {
      const [engine] = deployment.engines;
      if (engine === undefined) {
        throw new Error('there is no engine');
      }
      const responses = engine.faultyResponses[call];
      responses.push('HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nno');
      await engine.restart();
      await waitFor('the faulty response to be used', () => responses.length === 0);
      await waitFor('the group to be open', () => deployment.findHeads().length > 0);
      expect(deployment.sidecarProgram(0).output).not.toContain('evaluated to a falsy value');
      expect(deployment.sidecarProgram(0).output).not.toContain('false == true');
    },
  );
});
