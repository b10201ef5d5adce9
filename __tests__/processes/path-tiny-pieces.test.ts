import { connect, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { Fleet } from '../support/index.js';
import { waitForOrdinaryService } from '../support/ordinary-service.js';
import { pressWithSessions } from '../support/session-crowd.js';

const megabyte = 1024 * 1024;
/** What the machine of an upstream has for the process beside it; the machines of gateways and control hosts have more. */
const processMemory = 218 * megabyte;
/** For how long the clients press, in milliseconds. */
const pressTime = 4000;
const crowd = 8;

/** An unknown field, and the size of its value: what a decoder skips. */
const unknownField = 0xa2;
const unknownFieldRest = 0x06;

/** Lets a field of so many bytes follow, in a message that is sent on a stream of messages. */
function createLongBegin(bytes: number): Buffer {
  const field = createFieldBegin(bytes);
  const prefix = Buffer.alloc(5);
  prefix.writeUInt32BE(field.length + bytes, 1);
  return Buffer.concat([prefix, field]);
}

function createFieldBegin(bytes: number): Buffer {
  const size: number[] = [];
  let rest = bytes;
  while (rest >= 0x80) {
    size.push((rest % 0x80) + 0x80);
    rest = Math.floor(rest / 0x80);
  }
  return Buffer.from([unknownField, unknownFieldRest, ...size, rest]);
}

const longMessageBytes = megabyte;
/** A whole message, which fits into one read together with a piece of the long one. */
const fillBytes = 60 * 1024;
const fill = Buffer.concat([createFieldBegin(fillBytes), Buffer.alloc(fillBytes)]);
const version = { 'connect-protocol-version': '1' };

/** The process that is called, the call whose message never ends, and the one that fills what is read. */
const calls = [
  [
    'control-1',
    '/pistachiospoke.v1.ControlService/Report',
    '/pistachiospoke.v1.ControlService/Submit',
  ],
  [
    'sidecar-1',
    '/pistachiospoke.v1.AttemptService/Run',
    '/pistachiospoke.v1.AttemptService/Cancel',
  ],
] as const;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start({ engineHosts: 2, replicaSize: 2 });
});

afterAll(async () => {
  await fleet.stop();
});

/** Opens a connection on which each piece of a message is sent together with a whole message. */
function sendTinyPieces(address: string, longPath: string, fillPath: string): ClientHttp2Session {
  const session = connect(`http://${address}`);
  session.on('error', () => undefined);
  let long: ClientHttp2Stream | undefined;
  const openLong = (): ClientHttp2Stream => {
    const stream = session.request({
      ':method': 'POST',
      ':path': longPath,
      'content-type': 'application/connect+proto',
      ...version,
    });
    stream.on('error', () => undefined).resume();
    stream.write(createLongBegin(longMessageBytes));
    return stream;
  };
  const next = (): void => {
    if (session.destroyed) {
      return;
    }
    if (long === undefined || long.closed) {
      long = openLong();
    }
    long.write(Buffer.alloc(1));
    const stream = session.request({
      ':method': 'POST',
      ':path': fillPath,
      'content-type': 'application/proto',
      ...version,
    });
    stream.on('error', () => undefined).resume();
    stream.once('close', () => setImmediate(next));
    stream.end(fill);
  };
  next();
  return session;
}

// Guards against clients that keep whole read buffers of a process in memory by one byte of each.
describe('pieces of a message that are read together with others', () => {
  it.each(calls)('cost %s no more than its machine has', async (name, longPath, fillPath) => {
    const member = fleet.member(name);
    const { program } = member;
    const { peakBytes } = await pressWithSessions(member, crowd, pressTime, (address) => {
      return sendTinyPieces(address, longPath, fillPath);
    });
    expect(program.isRunning).toBe(true);
    expect(peakBytes).toBeLessThan(processMemory);
    await waitForOrdinaryService(fleet);
    expect(program.isRunning).toBe(true);
  });
});
