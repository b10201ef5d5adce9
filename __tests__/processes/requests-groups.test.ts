import { afterEach, describe, expect, it } from 'vitest';

import { Fleet, waitFor } from '../support/index.js';
import { findLead, listChats, StreamedAnswer } from './requests-callers.js';

/** Two whole groups, one of which loses its lead sidecar or its engine while requests are in flight. */

let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

const tokens = 60;

async function startTwoGroups(): Promise<Fleet> {
  fleet = await Fleet.start({ tokenMilliseconds: 20, replicaSize: 2, serviceHosts: 0 });
  const running = fleet;
  await waitFor('two groups to serve', async () => {
    const { output } = await running.runCommand(['groups', '--json']);
    const view = JSON.parse(output) as { readonly groups: readonly { isServing: boolean }[] };
    return view.groups.filter(({ isServing }) => isServing).length === 2;
  });
  return fleet;
}

/** Sends streamed and other requests to both groups, breaks one of them, and checks what each caller gets. */
async function expectAnswersAcross(running: Fleet, breakGroup: () => void): Promise<void> {
  const streams = await Promise.all(
    Array.from({ length: 12 }, (_, index) =>
      StreamedAnswer.open(running, `stream${index}`, tokens),
    ),
  );
  const wholes = listChats(running, 24, tokens);
  await waitFor('every stream to begin', () => streams.every(({ text }) => text.includes('#2 ')));
  breakGroup();
  for (const { status, text, word } of await Promise.all(wholes)) {
    expect(`${status} ${text}`).toContain('200 ');
    expect(text).toContain(`${word}#${tokens - 1} `);
  }
  await Promise.all(streams.map(({ ended }) => ended));
  const broken = streams.filter(({ isWhole }) => !isWhole);
  expect(broken.length).toBeGreaterThan(0);
  expect(broken.length).toBeLessThan(streams.length);
  expect(broken.filter(({ hasErrorEvent }) => !hasErrorEvent)).toEqual([]);
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
    await expectAnswersAcross(running, () => {
      running.member(lead).program.signal('SIGKILL');
    });
  });

  /*
   * Symptom: a caller takes half an answer for a whole one, or gets 502 although another group could have answered.
   * Sequence: answers are under way; SIGKILL of the engine beside the lead sidecar.
   * Cause: the end of the engine's connection was taken for the end of the answer, or told as final.
   */
  it('loses its engine: what is not streamed is run again, streams end in an error event', async () => {
    const running = await startTwoGroups();
    const engine = (await findLead(running)).replace('sidecar', 'engine');
    await expectAnswersAcross(running, () => {
      running.member(engine).program.signal('SIGKILL');
    });
  });
});
