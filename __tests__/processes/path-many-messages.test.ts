import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { ClientCrowd } from '../support/client-crowd.js';
import { Fleet, fleetKey, fleetModel, formatHead, type RunningProgram } from '../support/index.js';
import { waitForOrdinaryService } from '../support/ordinary-service.js';
import { resetPeak, watchResources } from '../support/process-resources.js';

const megabyte = 1024 * 1024;
/** What the machine of a gateway and a control host has. */
const machineMemory = 350 * megabyte;
/** What callers may send by default. */
const bodyLimit = 4 * megabyte;
/** For how long the clients press, in milliseconds. */
const pressTime = 2500;
const crowd = 24;

let fleet: Fleet;
let programs: readonly RunningProgram[] = [];

beforeAll(async () => {
  fleet = await Fleet.start({ engineHosts: 2, replicaSize: 2, maximumBodyBytes: bodyLimit });
  programs = ['gateway-1', 'control-1'].map((name) => fleet.member(name).program);
});

afterAll(async () => {
  await fleet.stop();
});

const beginning = `{"model":"${fleetModel}","max_tokens":1,"messages":[`;
const end = '{"role":"user","content":"last"}]}';

/** A body inside the limit, with as many messages as it holds. */
function createBody(createMessage: (index: number) => string, maximumMessages = bodyLimit): string {
  const messages: string[] = [];
  let size = beginning.length + end.length;
  while (messages.length < maximumMessages) {
    const message = `${createMessage(messages.length)},`;
    size += message.length;
    if (size > bodyLimit) {
      break;
    }
    messages.push(message);
  }
  return `${beginning}${messages.join('')}${end}`;
}

/** Inside the number of values that a request may have. */
const depth = 50_000;
const bodies = {
  'numbers that differ': createBody(String),
  'empty objects': createBody(() => '{}'),
  'lists in lists': createBody(() => '[[]]'),
  'objects of different shapes': createBody((index) => `{"${index}":0}`),
  'nested lists': createBody(() => `${'['.repeat(depth)}${']'.repeat(depth)}`, 1),
  'short messages': createBody((index) => `{"role":"user","content":"${index}"}`),
};
/** Three values each, of the 100,000 that a request may have. */
const messageCount = 30_000;
const messageText = 'x'.repeat(64);
const longConversation = createBody(
  (index) => `{"role":"user","content":"${index} ${messageText}"}`,
  messageCount,
);

const headers = { authorization: `Bearer ${fleetKey}`, 'content-type': 'application/json' };
const path = '/v1/chat/completions';

// Guards against prompts of very many small messages that end a gateway, fill the memory of its machine, or keep it from its other callers.
describe('prompts of very many messages', () => {
  it('are served', async () => {
    await Promise.all(programs.map(resetPeak));
    const url = `${fleet.origin()}${path}`;
    const served = fetch(url, { method: 'POST', headers, body: longConversation });
    const { peakBytes } = await watchResources(programs, pressTime);
    expect(programs.every(({ isRunning }) => isRunning)).toBe(true);
    expect(peakBytes).toBeLessThan(machineMemory);
    const response = await served;
    await response.text();
    expect(response.status).toBe(200);
  });

  it.each(Object.entries(bodies))(
    'cost a gateway no more than its machine has: %s',
    async (_, body) => {
      await Promise.all(programs.map(resetPeak));
      const fields = { host: 'gateway', ...headers, 'content-length': String(body.length) };
      const head = formatHead({ method: 'POST', path, headers: fields });
      const clients = new ClientCrowd(fleet.member('gateway-1').externalAddress, crowd, {
        beginning: `${head}${body}`,
      });
      try {
        const { peakBytes } = await watchResources(programs, pressTime);
        expect(programs.every(({ isRunning }) => isRunning)).toBe(true);
        expect(peakBytes).toBeLessThan(machineMemory);
      } finally {
        clients.close();
      }
      await waitForOrdinaryService(fleet);
      expect(programs.every(({ isRunning }) => isRunning)).toBe(true);
    },
  );
});
