import { connect, type ClientHttp2Session } from 'node:http2';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { Fleet } from '../support/index.js';
import { waitForOrdinaryService } from '../support/ordinary-service.js';
import { pressWithSessions } from '../support/session-crowd.js';

const megabyte = 1024 * 1024;
/** What the machine of an upstream has for the process beside it; the machines of gateways and control hosts have more. */
const processMemory = 218 * megabyte;
/** For how long the clients press, in milliseconds. */
const pressTime = 4000;
const crowd = 24;
const callsPerConnection = 1000;

const unfinished = Buffer.alloc(1);
/** Flags and a size of zero: a whole message without any fields. */
const empty = Buffer.alloc(5);

/** The process that is called, what with, the path and what is sent on each call. */
const calls = [
  ['control-1', 'reports', '/pistachiospoke.v1.ControlService/Report', unfinished],
  ['sidecar-1', 'attempts', '/pistachiospoke.v1.AttemptService/Run', unfinished],
  ['control-1', 'watches of routing', '/pistachiospoke.v1.RoutingService/Watch', empty],
  ['control-1', 'log streams', '/pistachiospoke.v1.ConsensusService/Exchange', empty],
  ['sidecar-1', 'lease streams', '/pistachiospoke.v1.LeaseService/Hold', empty],
] as const;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start({ engineHosts: 2, replicaSize: 2 });
});

afterAll(async () => {
  await fleet.stop();
});

/** Opens a connection with calls that send so much each, and nothing after it. */
function openIdleCalls(address: string, path: string, bytes: Buffer): ClientHttp2Session {
  const session = connect(`http://${address}`);
  session.on('error', () => undefined);
  session.once('remoteSettings', () => {
    for (let call = 0; call < callsPerConnection && !session.destroyed; call += 1) {
      const stream = session.request({
        ':method': 'POST',
        ':path': path,
        'content-type': 'application/connect+proto',
        'connect-protocol-version': '1',
      });
      stream.on('error', () => undefined);
      stream.resume();
      stream.write(bytes);
    }
  });
  return session;
}

// Guards against clients that fill the memory of a process with calls on which they send nothing.
describe('calls between processes that go no further', () => {
  it.each(calls)('cost %s no more than its machine has: %s', async (name, _, path, bytes) => {
    const member = fleet.member(name);
    const { program } = member;
    const { peakBytes } = await pressWithSessions(member, crowd, pressTime, (address) => {
      return openIdleCalls(address, path, bytes);
    });
    expect(program.isRunning).toBe(true);
    expect(peakBytes).toBeLessThan(processMemory);
    await waitForOrdinaryService(fleet);
    expect(program.isRunning).toBe(true);
  });
});
