import { connect, type ClientHttp2Session } from 'node:http2';
import { gzipSync } from 'node:zlib';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { Fleet } from '../support/index.js';
import { waitForOrdinaryService } from '../support/ordinary-service.js';
import { pressWithSessions } from '../support/session-crowd.js';

const megabyte = 1024 * 1024;
/** What the machine of an upstream has for the process beside it; the machines of gateways and control hosts have more. */
const processMemory = 218 * megabyte;
/** For how long the clients press, in milliseconds. */
const pressTime = 2500;
const crowd = 24;

/** Inside the limit of a message. */
const messageBytes = 39 * megabyte;
const zeros = Buffer.alloc(messageBytes);
const compressed = gzipSync(zeros);
/** An unknown field of three bytes, again and again. */
const unknownFields = Buffer.alloc(messageBytes, Buffer.from([0xa0, 0x06, 0x00]));
/** Empty entries of the lists of a report and of a request, two bytes each. */
const emptyGroups = Buffer.alloc(messageBytes, Buffer.from([0x2a, 0x00]));
const emptyHeaders = Buffer.alloc(messageBytes, Buffer.from([0x62, 0x00]));

function createMessage(flags: number, bytes: Buffer): Buffer {
  const prefix = Buffer.alloc(5);
  prefix.writeUInt8(flags);
  prefix.writeUInt32BE(bytes.length, 1);
  return Buffer.concat([prefix, bytes]);
}

const version = { 'connect-protocol-version': '1' };
const unary = { ...version, 'content-type': 'application/proto' };
const streamed = { ...version, 'content-type': 'application/connect+proto' };
const text = { ...version, 'content-type': 'application/json; charset=utf-8' };
const unaryGzip = { ...unary, 'content-encoding': 'gzip' };
const streamedGzip = { ...streamed, 'connect-content-encoding': 'gzip' };

const submit = '/pistachiospoke.v1.ControlService/Submit';
const report = '/pistachiospoke.v1.ControlService/Report';
const ask = '/pistachiospoke.v1.AttemptService/Ask';
const run = '/pistachiospoke.v1.AttemptService/Run';

type Headers = Readonly<Record<string, string>>;
/** The process that is called, what with, the path, the headers and the body. */
type Call = readonly [string, string, string, Headers, Buffer];

const calls: readonly Call[] = [
  ['control-1', 'a compressed message', submit, unaryGzip, compressed],
  [
    'control-1',
    'a compressed message on a stream',
    report,
    streamedGzip,
    createMessage(1, compressed),
  ],
  ['control-1', 'a message of unknown fields', submit, unary, unknownFields],
  ['control-1', 'a message for a path with a query', `${submit}?a=b`, unary, unknownFields],
  ['control-1', 'a message as text', submit, text, zeros],
  ['control-1', 'a list of empty entries', report, streamed, createMessage(0, emptyGroups)],
  ['sidecar-1', 'a compressed message', ask, unaryGzip, compressed],
  ['sidecar-1', 'a message of unknown fields', ask, unary, unknownFields],
  ['sidecar-1', 'a list of empty entries', run, streamed, createMessage(0, emptyHeaders)],
];

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start({ engineHosts: 2, replicaSize: 2 });
});

afterAll(async () => {
  await fleet.stop();
});

/** Opens a connection on which the call is made again whenever it has ended. */
function callAgainAndAgain(address: string, headers: Headers, body: Buffer): ClientHttp2Session {
  const session = connect(`http://${address}`);
  session.on('error', () => undefined);
  const call = (): void => {
    if (session.destroyed) {
      return;
    }
    const stream = session.request({ ':method': 'POST', ...headers });
    stream.on('error', () => undefined);
    stream.once('close', () => setImmediate(call));
    stream.resume();
    stream.end(body);
  };
  call();
  return session;
}

async function press(size: number, name: string, headers: Headers, body: Buffer): Promise<void> {
  const member = fleet.member(name);
  const { program } = member;
  const { peakBytes } = await pressWithSessions(member, size, pressTime, (address) => {
    return callAgainAndAgain(address, headers, body);
  });
  expect(program.isRunning).toBe(true);
  expect(peakBytes).toBeLessThan(processMemory);
  await waitForOrdinaryService(fleet);
  expect(program.isRunning).toBe(true);
}

// Guards against calls between processes that end one by messages that take far more memory than they have bytes.
describe('messages that grow when they are read', () => {
  it.each(calls)(
    'cost %s no more than its machine has: %s',
    async (name, _, path, fields, body) => {
      const headers = { ':path': path, ...fields };
      await press(1, name, headers, body);
      await press(crowd, name, headers, body);
    },
  );
});
