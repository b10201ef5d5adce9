import { once } from 'node:events';
import { Agent, request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';

import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { waitFor } from '../support/index.js';

/** Planned stops of control hosts while operators' changes are under way. */

const callerCount = 8;

interface ChangeAnswer {
  readonly status: number;
  readonly connection: string | undefined;
}

interface Change {
  readonly request: ClientRequest;
  readonly answer: Promise<ChangeAnswer>;
}

type Role = 'leader' | 'follower';

let deployment: PlatformDeployment;
let version = 5;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(0, 0);
  await deployment.applyManifest(version);
});

afterEach(async () => {
  for (const host of [0, 1, 2]) {
    const program = deployment.controlProgram(host);
    if (program.output.includes('"msg":"stopping"')) {
      await program.waitForExit();
      deployment.restartControl(host);
    }
    await waitFor('each control host to serve reads', () => isServing(host));
  }
});

afterAll(async () => {
  await deployment.stop();
});

async function isServing(host: number): Promise<boolean> {
  return (await deployment.callControl(host, 'GET', '/Config.Get')).status === 200;
}

function findHost(role: Role): number {
  const leader = deployment.findLeader();
  return role === 'leader' ? leader : (leader + 1) % 3;
}

/** Begins a change; its body is still to be written. */
function beginChange(host: number, agent: Agent): Change {
  const [ip, port] = deployment.operatorsAddress(host).split(':');
  const request = sendRequest({ host: ip, port, path: '/Config.Put', method: 'POST', agent });
  const answer = once(request, 'response').then(([response]: IncomingMessage[]) => {
    response?.resume();
    return { status: response?.statusCode ?? 0, connection: response?.headers.connection };
  });
  return { request, answer };
}

/** Sends changes on one connection until it closes. Returns how the ones that were not answered failed. */
async function sendChanges(host: number, statuses: Set<number>): Promise<string | undefined> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let isOpen = true; isOpen;) {
    version += 1;
    const { request, answer } = beginChange(host, agent);
    request.end(deployment.manifest(version));
    try {
      const { status, connection } = await answer;
      statuses.add(status);
      isOpen = connection !== 'close';
    } catch (error) {
      return String(error);
    }
  }
  return undefined;
}

describe.each<Role>(['leader', 'follower'])('a stop of the %s of control', (role) => {
  // Failure: changes that were read get a reset in place of an answer, while they are committed or lost.
  it('answers every change under way, also when the signal is repeated', async () => {
    const host = findHost(role);
    const program = deployment.controlProgram(host);
    const statuses = new Set<number>();
    const before = version;
    const callers = Array.from({ length: callerCount }, () => sendChanges(host, statuses));
    await waitFor('changes by all callers', () => version > before + 5 * callerCount);
    program.signal('SIGTERM');
    await program.waitForOutput(/"msg":"stopping"/);
    program.signal('SIGTERM');
    const failures = (await Promise.all(callers)).filter((failure) => failure !== undefined);
    expect(failures).toEqual([]);
    // A change may also be rejected, with a result code, as without a leader.
    expect([...statuses].filter((status) => status !== 200 && status !== 503)).toEqual([]);
    expect(await program.waitForExit()).toEqual({ code: 0, signal: null });
  });

  // Failure: a change whose body is arriving gets a reset in place of an answer.
  it('commits a change whose body arrives while it stops', async () => {
    const host = findHost(role);
    const program = deployment.controlProgram(host);
    version += 1;
    const body = deployment.manifest(version);
    const { request, answer } = beginChange(host, new Agent());
    request.write(body.slice(0, body.length / 2));
    await once(request, 'socket');
    await waitFor('the first half to be sent', () => request.writableLength === 0);
    program.signal('SIGTERM');
    await program.waitForOutput(/"msg":"stopping"/);
    request.end(body.slice(body.length / 2));
    expect(await answer).toEqual({ status: 200, connection: 'close' });
    expect(await program.waitForExit()).toEqual({ code: 0, signal: null });
    const other = (host + 1) % 3;
    await waitFor('another host to serve reads', () => isServing(other));
    expect((await deployment.callControl(other, 'GET', '/Config.Get')).body).toBe(body);
  });
});
