import { once } from 'node:events';
import { connect, constants, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2';

import { createClient } from '@connectrpc/connect';
import { createGrpcTransport } from '@connectrpc/connect-node';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { ConsensusService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer } from '../../src/wire/index.js';
import { reservePort, waitFor } from '../support/index.js';

const maximumCalls = 16;
/** What one session may have of them. */
const callsOfSession = 4;
const maximumRefusals = 50;

let address: string;
let server: ReturnType<typeof createRpcServer>;
const sessions: ClientHttp2Session[] = [];

beforeEach(async () => {
  address = `127.0.0.1:${await reservePort()}`;
  server = createRpcServer({
    address,
    maximumCalls,
    routes: (router) => {
      router.service(ConsensusService, {
        forward: ({ command }) => ({ answer: command }),
        exchange: async (envelopes) => {
          for await (const envelope of envelopes) {
            expect(envelope).toBeUndefined();
          }
          return {};
        },
      });
    },
  });
  await server.open();
});

afterEach(async () => {
  sessions.splice(0).forEach((session) => {
    session.destroy();
  });
  await server.close();
});

async function openSession(): Promise<ClientHttp2Session> {
  const session = connect(`http://${address}`);
  sessions.push(session);
  session.on('error', () => undefined);
  await once(session, 'remoteSettings');
  return session;
}

/** Opens calls that send a part of a message; resolves once the server has received all that was sent so far. */
async function openCalls(
  session: ClientHttp2Session,
  count: number,
): Promise<readonly ClientHttp2Stream[]> {
  const streams = Array.from({ length: count }, () => {
    const stream = session.request({
      ':method': 'POST',
      ':path': '/pistachiospoke.v1.ConsensusService/Exchange',
      'content-type': 'application/connect+proto',
    });
    stream.on('error', () => undefined);
    stream.write(Buffer.alloc(1));
    return stream;
  });
  await new Promise<void>((resolve) => {
    session.ping(() => {
      resolve();
    });
  });
  return streams;
}

/** Opens sessions that have as many calls as they may, which leaves four calls for others. */
async function openBusySessions(): Promise<readonly ClientHttp2Session[]> {
  const busy: ClientHttp2Session[] = [];
  for (let client = 0; client < 3; client += 1) {
    const session = await openSession();
    await openCalls(session, callsOfSession);
    busy.push(session);
  }
  return busy;
}

// Guards against a client whose many open calls fill the memory of a process, and against others paying for them.
describe('the limit of open calls', () => {
  it('refuses the call of a session that has as many as are left', async () => {
    const busy = await openBusySessions();
    const next = await openSession();
    const streams = await openCalls(next, 3);
    await waitFor('a call to be refused', () => streams[2]?.closed === true);
    expect(streams.map(({ rstCode }) => rstCode)).toEqual([
      constants.NGHTTP2_NO_ERROR,
      constants.NGHTTP2_NO_ERROR,
      constants.NGHTTP2_REFUSED_STREAM,
    ]);
    expect([...busy, next].some(({ destroyed }) => destroyed)).toBe(false);
  });

  it('closes the session with the most calls when none are left for one with few', async () => {
    const [busiest, ...busy] = await openBusySessions();
    const next = await openSession();
    await openCalls(next, 2);
    const modest = await openSession();
    const streams = await openCalls(modest, 2);
    await waitFor('the busiest session to be closed', () => busiest?.destroyed === true);
    expect(streams.some(({ closed }) => closed)).toBe(false);
    expect([...busy, next, modest].some(({ destroyed }) => destroyed)).toBe(false);
  });

  it('closes a session that goes on after many refusals', async () => {
    await openBusySessions();
    const next = await openSession();
    await openCalls(next, 2);
    const refuse = async (): Promise<void> => {
      const [stream] = await openCalls(next, 1);
      await waitFor('the call to be refused', () => stream?.closed === true);
    };
    for (let refusals = 1; refusals < maximumRefusals; refusals += 1) {
      await refuse();
    }
    expect(next.destroyed).toBe(false);
    await refuse();
    await waitFor('the session to be closed', () => next.destroyed);
  });

  it('does not count calls of sessions that have closed', async () => {
    for (let client = 0; client < maximumCalls; client += 1) {
      const left = await openSession();
      await openCalls(left, callsOfSession);
      left.destroy();
    }
    const later = await openSession();
    const streams = await openCalls(later, callsOfSession);
    expect(streams.some(({ closed }) => closed)).toBe(false);
  });

  it('lets a call of another client be answered', async () => {
    await openBusySessions();
    const transport = createGrpcTransport({ baseUrl: `http://${address}` });
    const { answer } = await createClient(ConsensusService, transport).forward({ command: 'ask' });
    expect(answer).toBe('ask');
  });
});
