import { afterEach, describe, expect, it } from 'vitest';

import { Fleet, waitFor } from '../support/index.js';
import {
  findLead,
  listGroups,
  sendChats,
  StreamedAnswer,
  type ChatAnswer,
} from './requests-callers.js';

/** Two whole groups and two gateways, of which one process is killed or stopped while requests are in flight. */

let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

const tokens = 60;

async function startTwoGroups(): Promise<Fleet> {
  fleet = await Fleet.start({
    tokenMilliseconds: 20,
    replicaSize: 2,
    serviceHosts: 0,
    gateways: 2,
  });
  const running = fleet;
  await waitFor('two groups to serve', () => isEachServing(running));
  return fleet;
}

async function isEachServing(running: Fleet): Promise<boolean> {
  const groups = await listGroups(running);
  return groups.filter(({ isServing }) => isServing).length === 2;
}

interface Callers {
  readonly streams: readonly StreamedAnswer[];
  readonly wholes: readonly Promise<ChatAnswer>[];
}

/** Streamed and other requests to both groups, every stream begun. */
async function startCallers(running: Fleet): Promise<Callers> {
  const streams = await Promise.all(
    Array.from({ length: 12 }, (_, index) =>
      StreamedAnswer.open(running, `stream${index}`, tokens),
    ),
  );
  const wholes = sendChats(running, 24, tokens);
  await waitFor('every stream to begin', () => streams.every(({ text }) => text.includes('#2 ')));
  return { streams, wholes };
}

/** What is not streamed is answered whole; a stream is whole or says that it is not. Returns the streams that are not whole. */
async function expectNoSilentCut(callers: Callers): Promise<readonly StreamedAnswer[]> {
  for (const { status, text, word } of await Promise.all(callers.wholes)) {
    expect(`${status} ${text}`).toContain('200 ');
    expect(text).toContain(`${word}#${tokens - 1} `);
  }
  await Promise.all(callers.streams.map(({ ended }) => ended));
  const broken = callers.streams.filter(({ isWhole }) => !isWhole);
  expect(broken.filter(({ hasErrorEvent }) => !hasErrorEvent)).toEqual([]);
  return broken;
}

/** Some, but not all: the other group went on. */
function expectSomeBroken(broken: readonly StreamedAnswer[], callers: Callers): void {
  expect(broken.length).toBeGreaterThan(0);
  expect(broken.length).toBeLessThan(callers.streams.length);
}

describe('one of two groups', () => {
  /*
   * Symptom: callers get 502 although another whole group could have answered.
   * Sequence: answers are under way; SIGKILL of the lead sidecar of their group.
   * Cause: what had not begun to reach its caller was not run again, or the retry budget was too small for all of it.
   */
  it('loses its lead: what is not streamed is run again, streams end in an error event', async () => {
    const running = await startTwoGroups();
    const lead = await findLead(running);
    const callers = await startCallers(running);
    running.member(lead).program.signal('SIGKILL');
    expectSomeBroken(await expectNoSilentCut(callers), callers);
  });

  /*
   * Symptom: a caller takes half an answer for a whole one, or gets 502 although another group could have answered.
   * Sequence: answers are under way; SIGKILL of the engine beside the lead sidecar.
   * Cause: the end of the engine's connection was taken for the end of the answer, or told as final.
   */
  it('loses its engine: what is not streamed is run again, streams end in an error event', async () => {
    const running = await startTwoGroups();
    const engine = (await findLead(running)).replace('sidecar', 'engine');
    const callers = await startCallers(running);
    running.member(engine).program.signal('SIGKILL');
    expectSomeBroken(await expectNoSilentCut(callers), callers);
  });

  /*
   * Symptom: callers hang, or get another's bytes or a token twice, when a lead comes back after a pause.
   * Sequence: answers are under way; SIGSTOP of the lead until its gateway asks after them; SIGCONT.
   * Cause: what the lead sends when it wakes was taken in beside the answer that had been begun again.
   */
  it('has a lead that stands still and goes on: each caller gets its own answer once', async () => {
    const running = await startTwoGroups();
    const lead = running.member(await findLead(running)).program;
    const gateway = running.member('gateway-1').program;
    const callers = await startCallers(running);
    lead.signal('SIGSTOP');
    await waitFor('the gateway to ask', () => gateway.output.includes('ask after an attempt'));
    lead.signal('SIGCONT');
    await expectNoSilentCut(callers);
  });

  /*
   * Symptom: an engine that stands still for a while costs answers that say nothing of it.
   * Sequence: answers are under way; SIGSTOP of the lead's engine until its group is no longer called whole; SIGCONT.
   * Cause: the stream stands still while its sidecar's keep-alives go on; whoever ends it must say so.
   */
  it('has an engine that stands still and goes on: no answer is cut in silence', async () => {
    const running = await startTwoGroups();
    const engine = running.member((await findLead(running)).replace('sidecar', 'engine')).program;
    const callers = await startCallers(running);
    engine.signal('SIGSTOP');
    await waitFor('the group to be missed', async () => !(await isEachServing(running)));
    engine.signal('SIGCONT');
    await expectNoSilentCut(callers);
    await waitFor('both groups to serve again', () => isEachServing(running));
  });
});

describe('one of two gateways', () => {
  /*
   * Symptom: streams are asked after and broken off though nothing between gateway and engine failed.
   * Sequence: answers are under way; SIGSTOP of their gateway while the other one answers; SIGCONT.
   * Cause: the gateway took its own pause for the silence of all its connections, or a sidecar gave the attempts up.
   */
  it('stands still and goes on: its answers are whole', async () => {
    const running = await startTwoGroups();
    const gateway = running.member('gateway-1').program;
    const callers = await startCallers(running);
    gateway.signal('SIGSTOP');
    const other = await running.chat({ gateway: 2, tokens });
    expect(await other.text()).toContain(`hello#${tokens - 1} `);
    gateway.signal('SIGCONT');
    expect(await expectNoSilentCut(callers)).toEqual([]);
  });

  /*
   * Symptom: a caller takes half a stream for a whole one when its gateway dies.
   * Sequence: a stream is under way; SIGKILL of its gateway.
   * Cause: an end of the connection that looks like the end of the stream. A dead gateway can send no error event: what
   * is left is that the last event, `[DONE]`, is missing.
   */
  it('dies: no stream looks whole, and the other gateway goes on', async () => {
    const running = await startTwoGroups();
    const stream = await StreamedAnswer.open(running, 'cut', tokens);
    const other = await StreamedAnswer.open(running, 'other', tokens, 2);
    await waitFor('the stream to begin', () => stream.text.includes('#2 '));
    running.member('gateway-1').program.signal('SIGKILL');
    await Promise.all([stream.ended, other.ended]);
    expect(stream.text).not.toContain('[DONE]');
    expect(other.isWhole).toBe(true);
  });
});
