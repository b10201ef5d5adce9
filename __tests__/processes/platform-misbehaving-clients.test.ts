import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { createServiceHeaders, PlainService, servicePaths } from '../platform/plain-service.js';
import { ClientCrowd, type ClientBytes } from '../support/client-crowd.js';
import { formatHead, waitFor, type RunningProgram } from '../support/index.js';
import { resetPeak, watchResources } from '../support/process-resources.js';

const kilobyte = 1024;
const megabyte = 1024 * kilobyte;
/** What the machine of a gateway and a control host has. */
const machineMemory = 350 * megabyte;
const machineDescriptors = 4100;
/** What callers may send: the default of a manifest without limits. */
const bodyLimit = 4 * megabyte;
/** What operators may send. */
const manifestLimit = 16 * megabyte;
const unsentPart = 64 * kilobyte;
/** For how long the clients press, in milliseconds. */
const pressTime = 2500;
const endless = Number.MAX_SAFE_INTEGER;

const crowd = 80;
const floodOfConnections = 5000;

interface Form extends ClientBytes {
  readonly size: number;
}

function format(path: string, fields: Readonly<Record<string, string | number>>): string {
  const headers = { ...createServiceHeaders('misbehaving'), 'content-type': 'application/json' };
  return formatHead({ method: 'POST', path, headers: { ...headers, ...formatAll(fields) } });
}

function formatAll(fields: Readonly<Record<string, string | number>>): Record<string, string> {
  return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, String(value)]));
}

const chunkedField = { 'transfer-encoding': 'chunked' };
const byteChunk = '1\r\nx\r\n';
const largeChunk = `10000\r\n${'x'.repeat(64 * kilobyte)}\r\n`;

/** Bodies that a caller or an operator may send to a path, with the limit that holds there. */
function createBodyForms(path: string, limit: number): Readonly<Record<string, Form>> {
  const chunked = format(path, chunkedField);
  return {
    'one body in chunks of one byte, inside the limit': {
      size: 1,
      beginning: chunked,
      repeated: { text: byteChunk, count: 1.5 * megabyte },
    },
    'bodies in chunks of one byte, without end': {
      size: 8,
      beginning: chunked,
      repeated: { text: byteChunk, count: endless },
    },
    'chunked bodies without end': {
      size: crowd,
      beginning: chunked,
      repeated: { text: largeChunk, count: endless },
    },
    'bodies with a length, all but the last bytes': {
      size: crowd,
      beginning: format(path, { 'content-length': limit }),
      repeated: { text: 'x', count: limit - unsentPart },
    },
    'chunked bodies, all but the last bytes': {
      size: crowd,
      beginning: chunked,
      repeated: { text: largeChunk, count: (limit - unsentPart) / (64 * kilobyte) },
    },
    'whole bodies of the largest size': {
      size: crowd,
      beginning: format(path, { 'content-length': limit }),
      repeated: { text: 'x', count: limit },
    },
    'bodies of a gigabyte, announced and sent': {
      size: crowd,
      beginning: format(path, { 'content-length': kilobyte * megabyte }),
      repeated: { text: 'x', count: endless },
    },
    'requests without end on a connection': {
      size: 24,
      beginning: '',
      repeated: { text: format(path, { 'content-length': 0 }), count: endless },
      isDeaf: true,
    },
  };
}

const connections: Readonly<Record<string, Form>> = {
  'connections that send one byte': { size: floodOfConnections, beginning: 'G' },
};

let deployment: PlatformDeployment;
let service: PlainService;
let programs: readonly RunningProgram[] = [];

/** A deployment for the tests of one port. */
function useDeployment(): void {
  beforeAll(async () => {
    deployment = await PlatformDeployment.start(0, 1, 1000, undefined, {}, 'deployment');
    service = new PlainService(deployment, 3);
    await service.open(1);
    programs = [deployment.gatewayProgram(0), deployment.controlProgram(0)];
  });

  afterAll(async () => {
    await service.close();
    await deployment.stop();
  });
}

/** Callers and operators try again after a refusal or a closed connection. */
async function expectOrdinaryService(): Promise<void> {
  await waitFor('an ordinary request to be answered', async () => {
    const { status, isWhole } = await service.call(0, servicePaths.again);
    return status === 200 && isWhole;
  });
  await waitFor('the configuration to be read', async () => {
    const { status } = await deployment.callControl(0, 'GET', '/Config.Get');
    return status === 200;
  });
}

async function press(address: string, { size, ...bytes }: Form): Promise<void> {
  await Promise.all(programs.map(resetPeak));
  const clients = new ClientCrowd(address, size, bytes);
  try {
    const { peakBytes, descriptors } = await watchResources(programs, pressTime);
    expect(programs.every(({ isRunning }) => isRunning)).toBe(true);
    expect(peakBytes).toBeLessThan(machineMemory);
    expect(descriptors).toBeLessThan(machineDescriptors);
    await expectOrdinaryService();
  } finally {
    clients.close();
  }
  await expectOrdinaryService();
  expect(programs.every(({ isRunning }) => isRunning)).toBe(true);
}

/** Tests all forms at one port: bodies for a path with its limit, and connections. */
function testForms(path: string, limit: number, findAddress: () => string): void {
  it.each(Object.entries({ ...createBodyForms(path, limit), ...connections }))(
    'cost its machine no more than it has: %s',
    async (_, form) => {
      await press(findAddress(), form);
    },
  );
}

// Guards against callers that end a gateway, fill the memory or the descriptors of its machine, or keep it from its other callers.
describe('callers that send what they like to a gateway', () => {
  useDeployment();

  testForms(servicePaths.again, bodyLimit, () => deployment.gatewayAddress(0));

  it.each([
    ['an unknown route', format('/nowhere/1', chunkedField)],
    ['an unknown key', format(servicePaths.again, chunkedField).replace('key-1', 'key-2')],
    ['a body over the limit', format(servicePaths.again, { 'content-length': endless })],
  ])('are not read for ever after a refusal: %s', async (_, beginning) => {
    const clients = new ClientCrowd(deployment.gatewayAddress(0), crowd, {
      beginning,
      repeated: { text: largeChunk, count: endless },
    });
    await waitFor('their connections to be closed', () => clients.closedCount === crowd);
  });
});

// Guards against clients of the operators' port that end a control host, or fill the memory or the descriptors of its machine.
describe('clients that send what they like to the port for operators', () => {
  useDeployment();

  testForms('/Config.Put', manifestLimit, () => deployment.operatorsAddress(0));

  it('cost its machine no more than it has: heartbeats as long as a manifest', async () => {
    const path = '/Instances.Heartbeat/i-1';
    await press(deployment.operatorsAddress(0), {
      size: crowd,
      beginning: format(path, { 'content-length': manifestLimit }),
      repeated: { text: 'x', count: manifestLimit - unsentPart },
    });
  });

  it('cost its machine no more than it has: a manifest of many small values', async () => {
    const text = '{},';
    const prefix = '{"version":9,"routes":[';
    const count = Math.floor((manifestLimit - 64) / text.length);
    const suffix = '{}],"services":[]}';
    const length = prefix.length + count * text.length + suffix.length;
    const body = `${prefix}${text.repeat(count)}${suffix}`;
    await press(deployment.operatorsAddress(0), {
      size: 1,
      beginning: `${format('/Config.Put', { 'content-length': length })}${body}`,
    });
  });
});

// Guards against clients of the port for load balancers, which expects no bodies at all.
describe('clients that send what they like to the port for load balancers', () => {
  useDeployment();

  testForms('/readyz', bodyLimit, () => deployment.readinessAddress(0));
});
