import { setTimeout as pause } from 'node:timers/promises';

import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment, type CallResult } from '../platform/deployment.js';
import { waitFor, type RunningProgram } from '../support/index.js';

/** Signals that are repeated while a program of the platform stops. */

const graceMilliseconds = 8000;
const streamCount = 6;
/** Twenty events: longer than the signals of a series take. */
const eventInterval = 200;
const signalDelay = 1000;

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(2, 1, graceMilliseconds);
  await deployment.waitForGroups(1);
});

afterEach(async () => {
  const gateway = deployment.gatewayProgram(0);
  if (gateway.output.includes('"msg":"stopping"')) {
    await gateway.waitForExit();
    deployment.restartGateway(0);
  }
});

afterAll(async () => {
  await deployment.stop();
});

async function sendSeries(
  program: RunningProgram,
  signals: readonly NodeJS.Signals[],
): Promise<void> {
  for (const [index, signal] of signals.entries()) {
    await pause(index === 0 ? 0 : signalDelay);
    program.signal(signal);
  }
}

/** Streams on connections that were kept from earlier ones; resolves once all of them run, with the answers to come. */
async function startStreams(): Promise<readonly Promise<CallResult>[]> {
  const indexes = Array.from({ length: streamCount }, (_, index) => index);
  await waitFor('whole streams on connections that are kept', async () => {
    const answers = await Promise.all(indexes.map((index) => deployment.stream(`first-${index}`)));
    return answers.every(({ status, isWhole }) => status === 200 && isWhole);
  });
  for (const engine of deployment.engines) {
    engine.eventInterval = eventInterval;
  }
  const before = countRuns();
  const answers = indexes.map((index) => deployment.stream(`second-${index}`));
  await waitFor('all streams to run', () => countRuns() === before + streamCount);
  for (const engine of deployment.engines) {
    engine.eventInterval = 20;
  }
  return answers;
}

function countRuns(): number {
  return deployment.engines.flatMap(({ runs }) => runs).length;
}

// Failure: a second SIGTERM has its default action and ends the process with all that is under way.
describe('signals that follow the first while it stops', () => {
  it.each([
    [['SIGTERM', 'SIGTERM']],
    [['SIGINT', 'SIGINT']],
    [['SIGINT', 'SIGTERM', 'SIGTERM']],
    [['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGINT']],
  ] as const)('let a gateway finish its streams: %j', async (signals) => {
    const program = deployment.gatewayProgram(0);
    const answers = await startStreams();
    await sendSeries(program, signals);
    for (const { status, isWhole, body } of await Promise.all(answers)) {
      expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
      expect(body).toContain('id: 20\n');
    }
    expect(await program.waitForExit()).toEqual({ code: 0, signal: null });
    const logged = program.output.match(/"msg":"signal while stopping"/g) ?? [];
    expect(logged).toHaveLength(signals.length - 1);
  });

  it('let a control host that finds no successor end as planned', async () => {
    const leader = deployment.findLeader();
    const program = deployment.controlProgram(leader);
    const others = [0, 1, 2].filter((index) => index !== leader);
    for (const index of others) {
      deployment.controlProgram(index).signal('SIGSTOP');
    }
    program.signal('SIGTERM');
    await program.waitForOutput(/"msg":"stopping"/);
    program.signal('SIGTERM');
    expect(await program.waitForExit()).toEqual({ code: 0, signal: null });
    for (const index of others) {
      deployment.controlProgram(index).signal('SIGCONT');
    }
  });
});
