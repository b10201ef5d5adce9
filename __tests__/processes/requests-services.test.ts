import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

import { callsPath } from '../../src/stand-in/index.js';
import { Fleet, waitFor, type RunningProgram } from '../support/index.js';

/** Non-idempotent calls of a plain service, whose path loses a process while they run; the stand-in counts what reaches it. */

interface Reply {
  readonly status: number;
  /** Number of a result code; undefined for an answer of the service. */
  readonly code: number | undefined;
  /** How many calls have reached the service, this one included. */
  readonly call: number | undefined;
}

const duplicateInProgress = 1011;
const conflict = 1010;
const duplicateFinished = 1012;
/** Long enough for a fault to come in the middle of a call. */
const answerMilliseconds = 2000;

let fleet: Fleet;
let gateway: RunningProgram;
let sidecar: RunningProgram;
let keys = 0;
let key = '';

beforeAll(async () => {
  fleet = await Fleet.start({ gateways: 2, serviceAnswerMilliseconds: answerMilliseconds });
  // Planned stops: a host that died more than once is held back, longer each time.
  await fleet.member('gateway-1').program.stop();
  await fleet.member('sidecar-desk-1').program.stop();
  await startGateway();
  await startSidecar();
});

afterAll(async () => {
  await fleet.stop();
});

/** With a log that says when a call is handed to the service. */
function startLogged(binary: string, name: string): RunningProgram {
  const settings = `${fleet.group.folder}/${name}.jsonc`;
  const commandArguments = ['--settings', settings, '--set', 'log.level=debug'];
  return fleet.group.start(binary, commandArguments, { label: name });
}

async function startGateway(): Promise<void> {
  gateway = startLogged('pistachiospoke-gateway', 'gateway-1');
  await waitFor('the gateway to be ready', async () => {
    const response = await fetch(`${fleet.origin()}/readyz`);
    return response.status === 200;
  });
}

/** Returns the calls that reached the service before the one that shows that it can be reached again. */
async function startSidecar(): Promise<number> {
  sidecar = startLogged('pistachiospoke-sidecar', 'sidecar-desk-1');
  return countCalls();
}

beforeEach(() => {
  keys += 1;
  key = `quote-${keys}`;
});

async function call(body: string, ownKey: string | undefined, gateway = 1): Promise<Reply> {
  const headers = ownKey === undefined ? undefined : { 'idempotency-key': ownKey };
  const response = await fleet.callService('/quotes', body, headers, gateway);
  const json = (await response.json()) as { error?: { code: number }; call?: number };
  return { status: response.status, code: json.error?.code, call: json.call };
}

/** Calls that reached the service so far, found by one more. */
async function countCalls(): Promise<number> {
  return waitFor('the service to answer', async () => {
    const reply = await call('count', undefined, 2);
    return reply.call === undefined ? undefined : reply.call - 1;
  });
}

/** Sends a call and waits until it has been handed to the service. */
async function startCall(body: string): Promise<{ readonly reply: Promise<Reply | undefined> }> {
  const handed = countHanded();
  const reply = call(body, key).catch(() => undefined);
  await waitFor('the call to be handed to the service', () => countHanded() > handed);
  return { reply };
}

/**
 * The same, and waits until it has reached the service. The sidecar logs that it hands a call on before it has written a byte of it: killed in
 * between, it takes along a call that ran nowhere.
 */
async function startCallAtService(body: string): ReturnType<typeof startCall> {
  const reached = await countReached();
  const started = await startCall(body);
  await waitFor('the call to reach the service', async () => (await countReached()) > reached);
  return started;
}

/** Calls that reached the service, by its own word. */
async function countReached(): Promise<number> {
  const response = await fetch(`http://${fleet.member('service-1').address}${callsPath}`);
  const calls = (await response.json()) as Readonly<Record<string, number>>;
  return Object.values(calls).reduce((sum, count) => sum + count, 0);
}

/** The answer goes out before the log is told of it: a repeat right after it still hears that the first is under way. */
function expectFinished(): Promise<boolean> {
  return waitFor('the end of the first to be known', async () => {
    const { code } = await call('van 3', key, 2);
    expect([duplicateInProgress, duplicateFinished]).toContain(code);
    return code === duplicateFinished;
  });
}

function countHanded(): number {
  return sidecar.output.split('handed to the upstream').length - 1;
}

function countAsked(): number {
  return gateway.output.split('ask after an attempt').length - 1;
}

describe('a non-idempotent call', () => {
  it('runs once for its key, whichever gateway it is sent to again', async () => {
    const before = await countCalls();
    expect((await call('van 3', key)).status).toBe(200);
    await expectFinished();
    expect((await call('van 4', key, 2)).code).toBe(conflict);
    expect(await countCalls()).toBe(before + 2);
  });

  /*
   * Symptom: a quote is sent twice.
   * Sequence: the gateway is killed with the call under way; its caller sends it again, with its key, to the other gateway.
   * Cause: only the dead gateway knew of the first.
   */
  it('does not run again when its gateway was killed', async () => {
    const before = await countCalls();
    const first = await startCall('van 3');
    gateway.signal('SIGKILL');
    await first.reply;
    expect((await call('van 3', key, 2)).code).toBe(duplicateInProgress);
    expect(await countCalls()).toBe(before + 2);
    await startGateway();
  });

  /*
   * Symptom: a quote is sent twice, or its caller is told that it did not run.
   * Sequence: the sidecar stands still until the gateway asks after the call, and goes on.
   * Cause: silence was taken for "not run", or the late copy was run beside the second attempt.
   */
  it('runs once when its sidecar stands still and goes on', async () => {
    const before = await countCalls();
    const asked = countAsked();
    const first = await startCall('van 3');
    sidecar.signal('SIGSTOP');
    await waitFor('the gateway to ask', () => countAsked() > asked);
    sidecar.signal('SIGCONT');
    const reply = await first.reply;
    expect([200, 502]).toContain(reply?.status);
    expect(await countCalls()).toBe(before + 2);
  });

  /*
   * Symptom: a quote is sent twice, or its caller is told that it did not run.
   * Sequence: the sidecar is killed with the call under way.
   * Cause: a broken connection was taken for "not run".
   */
  it('is unknown, and not run again, when its sidecar was killed', async () => {
    const before = await countCalls();
    const first = await startCallAtService('van 3');
    sidecar.signal('SIGKILL');
    expect((await first.reply)?.status).toBe(502);
    expect(await startSidecar()).toBe(before + 2);
    expect((await call('van 3', key, 2)).code).toBe(duplicateInProgress);
  });

  /*
   * Symptom: a quote is sent twice.
   * Sequence: the service is killed with the call under way and started again.
   * Cause: the sidecar or the gateway sent the call to the new process.
   */
  it('is unknown, and not run again, when its service was killed', async () => {
    const first = await startCall('van 3');
    fleet.member('service-1').program.signal('SIGKILL');
    expect((await first.reply)?.status).toBe(502);
    fleet.start('service-1');
    // The new process counts from nothing.
    expect(await countCalls()).toBe(0);
    expect((await call('van 3', key, 2)).code).toBe(duplicateInProgress);
  });

  /*
   * Symptom: a planned stop of a gateway costs the outcome of a call.
   * Sequence: SIGTERM of the gateway with the call under way.
   * Cause: a process that leaves before what it owns has ended.
   */
  it('comes to its end when its gateway is stopped', async () => {
    const first = await startCall('van 3');
    gateway.signal('SIGTERM');
    expect((await first.reply)?.status).toBe(200);
    expect(await gateway.waitForExit()).toEqual({ code: 0, signal: null });
    await expectFinished();
  });
});
