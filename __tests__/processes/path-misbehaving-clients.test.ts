import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { CallCrowd, type CallBytes } from '../support/call-crowd.js';
import { ClientCrowd, type ClientBytes } from '../support/client-crowd.js';
import { Fleet, fleetKey, formatHead, type RunningProgram } from '../support/index.js';
import { waitForOrdinaryService } from '../support/ordinary-service.js';
import { resetPeak, watchResources } from '../support/process-resources.js';

const megabyte = 1024 * 1024;
/** What the machine of an upstream has for the process beside it; the machines of gateways and control hosts have more. */
const processMemory = 218 * megabyte;
const processDescriptors = 1494;
/** For how long the clients press, in milliseconds. */
const pressTime = 2500;
const endless = Number.MAX_SAFE_INTEGER;
const crowd = 80;
const floodOfConnections = 2000;

const unary = { 'content-type': 'application/proto', 'connect-protocol-version': '1' };
const streamed = { ...unary, 'content-type': 'application/connect+proto' };
/** The prefix of a message of two gigabytes. */
const longMessage = '\x00\x7f\xff\xff\xff';

/** A call of each kind at each port for calls between processes. */
const calls: Readonly<Record<string, Pick<CallBytes, 'path' | 'headers' | 'beginning'>>> = {
  'control-1': {
    path: '/pistachiospoke.v1.ControlService/Submit',
    headers: unary,
    beginning: '',
  },
  'sidecar-1': {
    path: '/pistachiospoke.v1.AttemptService/Ask',
    headers: unary,
    beginning: '',
  },
  'gateway-1': {
    path: '/pistachiospoke.v1.GatewayService/Counters',
    headers: unary,
    beginning: '',
  },
  'control-1, streamed': {
    path: '/pistachiospoke.v1.ControlService/Report',
    headers: streamed,
    beginning: longMessage,
  },
};

const body = formatHead({
  method: 'POST',
  path: '/v1/chat/completions',
  headers: {
    host: 'gateway',
    authorization: `Bearer ${fleetKey}`,
    'content-type': 'application/json',
    'transfer-encoding': 'chunked',
  },
});
const announcement = formatHead({
  method: 'POST',
  path: '/announce',
  headers: { host: 'sidecar', 'transfer-encoding': 'chunked' },
});
const byteChunks = { text: '1\r\nx\r\n', count: endless };
const largeChunks = { text: `10000\r\n${'x'.repeat(64 * 1024)}\r\n`, count: endless };

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start({ engineHosts: 2, replicaSize: 2 });
});

afterAll(async () => {
  await fleet.stop();
});

async function press(program: RunningProgram, start: () => { close: () => void }): Promise<void> {
  await resetPeak(program);
  const clients = start();
  try {
    const { peakBytes, descriptors } = await watchResources([program], pressTime);
    expect(program.isRunning).toBe(true);
    expect(peakBytes).toBeLessThan(processMemory);
    expect(descriptors).toBeLessThan(processDescriptors);
  } finally {
    clients.close();
  }
  await waitForOrdinaryService(fleet);
  expect(program.isRunning).toBe(true);
}

// Guards against clients that end a process by calls without end, or fill the memory of its machine.
describe('clients of the ports for calls between processes', () => {
  it.each(Object.entries(calls))('cost %s no more than its machine has', async (name, call) => {
    const { address, program } = fleet.member(name.split(',')[0] ?? '');
    await press(program, () => {
      return new CallCrowd(address, { ...call, connections: crowd, callsPerConnection: 1 });
    });
    await press(program, () => {
      return new CallCrowd(address, { ...call, connections: 1, callsPerConnection: crowd });
    });
  });

  it.each(['control-1', 'sidecar-1', 'gateway-1'])(
    'cost %s no more than its machine has: connections that send one byte',
    async (name) => {
      const { address, program } = fleet.member(name);
      await press(program, () => new ClientCrowd(address, floodOfConnections, { beginning: 'P' }));
    },
  );
});

const forms: readonly (readonly [string, string, number, ClientBytes])[] = [
  ['gateway-1', 'chunked bodies', crowd, { beginning: body, repeated: largeChunks }],
  ['gateway-1', 'chunks of one byte', 8, { beginning: body, repeated: byteChunks }],
  ['gateway-1', 'one byte on a connection', floodOfConnections, { beginning: 'P' }],
  ['sidecar-1', 'chunked bodies', crowd, { beginning: announcement, repeated: largeChunks }],
  ['sidecar-1', 'chunks of one byte', 8, { beginning: announcement, repeated: byteChunks }],
  ['sidecar-1', 'one byte on a connection', floodOfConnections, { beginning: 'P' }],
];

// Guards against callers and upstreams that end a process, or fill the memory or the descriptors of its machine.
describe('clients of the ports for callers and upstreams', () => {
  it.each(forms)('cost %s no more than its machine has: %s', async (name, _, size, bytes) => {
    const { externalAddress, program } = fleet.member(name);
    await press(program, () => new ClientCrowd(externalAddress, size, bytes));
  });
});
