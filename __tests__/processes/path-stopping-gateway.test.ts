import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { Fleet, OpenConnection, waitFor, type FleetOptions } from '../support/index.js';
import {
  formatChat,
  formatChunk,
  formatOwnHead,
  waitForClosedPort,
  waitForText,
} from './gateway-callers.js';

/** Callers of a gateway that gets SIGTERM; what it has begun, it owes them. */

/** Time between two tokens of a stream. */
const tokenMilliseconds = 20;
/** A body in parts takes half a second. */
const part = 'x'.repeat(100);
const partCount = 25;
const partInterval = 20;

let fleet: Fleet;
let callers: OpenConnection[] = [];

afterEach(async () => {
  callers.forEach((caller) => {
    caller.close();
  });
  callers = [];
  await fleet.stop();
});

async function startFleet(options: FleetOptions): Promise<void> {
  fleet = await Fleet.start(options);
}

async function openCaller(): Promise<OpenConnection> {
  const caller = await OpenConnection.open(new URL(fleet.origin()).host);
  callers.push(caller);
  return caller;
}

async function beginStream(caller: OpenConnection, tokens: number): Promise<void> {
  caller.write(formatChat({ content: 'word', isStreamed: true, tokens }));
  await waitForText(caller, '#3 ');
}

function stopGateway(): void {
  fleet.member('gateway-1').program.signal('SIGTERM');
}

async function expectOrderlyExit(): Promise<void> {
  const exit = await fleet.member('gateway-1').program.waitForExit();
  expect(exit).toEqual({ code: 0, signal: null });
}

describe('a gateway that stops', () => {
  // Guards against closing connections whose responses are written, but have not been read yet.
  it('sends the rest of a response to a caller that reads slowly', async () => {
    await startFleet({ serviceHosts: 0 });
    const caller = await openCaller();
    caller.write(formatChat({ content: 'x'.repeat(90_000), isStreamed: false, tokens: 120 }));
    await caller.pauseAtNextBytes();
    stopGateway();
    await waitForClosedPort(fleet);
    caller.resumeReading();
    await caller.closed;
    const [head = '', body = ''] = caller.received.split('\r\n\r\n');
    expect(head).toMatch(/^HTTP\/1.1 200 /);
    expect(body.length).toBe(Number(/content-length: (\d+)/i.exec(head)?.[1]));
    await expectOrderlyExit();
  });

  // Guards against closing the connections of requests whose body is still arriving once no other request is under way.
  it.each([
    ['of a length', { 'content-length': '16' }, (text: string) => text, ''],
    ['in chunks', { 'transfer-encoding': 'chunked' }, formatChunk, formatChunk('')],
  ] as const)('answers a request whose body arrives later, %s', async (_, framing, format, end) => {
    await startFleet({ engineHosts: 4 });
    const caller = await openCaller();
    caller.write(
      formatOwnHead('POST', '/services/booking-desk/a', {
        expect: '100-continue',
        ...framing,
      }),
    );
    await waitForText(caller, '100 Continue');
    stopGateway();
    await waitForClosedPort(fleet);
    caller.write(format('one half'));
    caller.write(format(' another'));
    caller.write(end);
    await caller.closed;
    expect(caller.received).toContain('"body":"one half another"');
    expect(caller.received).toMatch(/connection: close/i);
    await expectOrderlyExit();
  });

  // Guards against callers who stay on their connections because nothing tells them that the gateway stops.
  it('closes each connection with the next response while it is not ready', async () => {
    await startFleet({
      gatewayShutdown: { graceMilliseconds: 5000, hardLimitMilliseconds: 10_000 },
    });
    const service = '/services/booking-desk/a';
    const requests = [
      ['200', formatOwnHead('GET', '/livez')],
      ['503', formatOwnHead('GET', '/readyz')],
      ['200', formatOwnHead('GET', '/v1/models')],
      ['404', formatOwnHead('GET', '/nowhere')],
      ['405', formatOwnHead('GET', '/v1/chat/completions')],
      ['400', `${formatOwnHead('POST', '/v1/chat/completions', { 'content-length': '2' })}{}`],
      ['200', formatOwnHead('GET', service)],
      [
        '200',
        `${formatOwnHead('POST', service, { 'transfer-encoding': 'chunked' })}${formatChunk('a')}${formatChunk('')}`,
      ],
      ['200', formatChat({ content: 'hello', isStreamed: false, tokens: 2 })],
      ['200', formatChat({ content: 'hello', isStreamed: true, tokens: 2 })],
    ] as const;
    const kept = await Promise.all(requests.map(() => openCaller()));
    await Promise.all(
      kept.map(async (caller) => {
        caller.write(formatOwnHead('GET', '/nowhere'));
        await waitForText(caller, '}}');
      }),
    );
    stopGateway();
    await waitFor('the gateway to be unready', async () => {
      return (await fetch(`${fleet.origin()}/readyz`)).status === 503;
    });
    const heads = await Promise.all(
      kept.map(async (caller, index) => {
        const before = caller.received.length;
        caller.write(requests[index]?.[1] ?? '');
        await waitFor('a response', () => caller.received.slice(before).includes('\r\n\r\n'));
        return caller.received.slice(before).split('\r\n\r\n')[0] ?? '';
      }),
    );
    expect(heads.map((head) => head.slice('HTTP/1.1 '.length, 12))).toEqual(
      requests.map(([status]) => status),
    );
    expect(heads.filter((head) => !/connection: close/i.test(head))).toEqual([]);
  });

  // Guards against closing the connection of a refused request while its body arrives: the kernel resets it, and the answer is lost.
  it.each([
    ['of a length', { 'content-length': String(part.length * partCount) }, (text: string) => text],
    ['in chunks', { 'transfer-encoding': 'chunked' }, formatChunk],
  ] as const)(
    'refuses what comes on a kept connection, with a body %s',
    async (_, framing, format) => {
      await startFleet({ serviceHosts: 0, tokenMilliseconds });
      const [caller, companion, other] = [
        await openCaller(),
        await openCaller(),
        await openCaller(),
      ];
      await beginStream(caller, 100);
      await beginStream(companion, 100);
      await beginStream(other, 200);
      stopGateway();
      await waitForClosedPort(fleet);
      // Like a client that reads only after it has sent the whole request.
      caller.pauseReading();
      caller.write(formatOwnHead('POST', '/v1/chat/completions', framing));
      await waitForText(companion, '[DONE]');
      for (let count = 0; count < partCount; count += 1) {
        caller.write(format(part));
        await sleep(partInterval);
      }
      caller.resumeReading();
      await caller.closed;
      expect(caller.isReset).toBe(false);
      const refusal = caller.received.split('[DONE]').at(-1);
      expect(refusal).toMatch(/connection: close/i);
      expect(refusal).toContain('"name":"stopping"');
      await waitForText(other, '[DONE]');
      await expectOrderlyExit();
    },
  );

  // Guards against cutting, without an answer, what has not been finished when the time to stop is over.
  it('answers at the hard limit what it could not finish', async () => {
    const gatewayShutdown = { graceMilliseconds: 100, hardLimitMilliseconds: 1000 };
    await startFleet({ tokenMilliseconds, gatewayShutdown });
    const stream = await openCaller();
    const plain = await openCaller();
    const receiving = await openCaller();
    const claiming = await openCaller();
    await beginStream(stream, 10_000);
    plain.write(formatChat({ content: 'word', isStreamed: false, tokens: 10_000 }));
    const service = '/services/booking-desk/a';
    const fields = { 'content-length': '4', expect: '100-continue' };
    receiving.write(formatOwnHead('POST', service, fields));
    await waitForText(receiving, '100 Continue');
    receiving.write('ha');
    // A claim without an answer: the request waits, and has not been sent to any upstream.
    fleet.member('control-1').program.signal('SIGSTOP');
    claiming.write(formatOwnHead('POST', service, { ...fields, 'idempotency-key': 'one' }));
    await waitForText(claiming, '100 Continue');
    claiming.write('body');
    stopGateway();
    const ended = [stream, plain, receiving, claiming];
    await Promise.all(ended.map(({ closed }) => closed));
    expect(stream.received.slice(-500)).toMatch(/event: error\ndata: [^\n]*\n\n\r\n0\r\n\r\n$/);
    expect(plain.received).toContain('"name":"answerLost"');
    expect(receiving.received).toContain('"name":"stopping"');
    expect(claiming.received).toContain('"name":"stopping"');
    expect(ended.map(({ isReset }) => isReset)).toEqual(ended.map(() => false));
    await expectOrderlyExit();
  });
});
