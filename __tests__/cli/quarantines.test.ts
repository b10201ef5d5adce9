import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { exitCodes } from '../../src/cli/index.js';
import type { Command } from '../../src/control/state/index.js';
import { formatSegmentSubject } from '../../src/routing/index.js';
import { FakeControl, FakeReplicatedLog, runCommand } from './fake-control.js';

const subject = formatSegmentSubject('engines', '91bd3f06');
let log: FakeReplicatedLog;
let controls: readonly FakeControl[];

beforeEach(async () => {
  log = new FakeReplicatedLog();
  controls = [new FakeControl('control-1', log), new FakeControl('control-2', log)];
  await Promise.all(controls.map((control) => control.open()));
  for (const upstream of ['i-1', 'i-2', 'i-3']) {
    const crashes = [{ upstream, requests: [subject] }];
    const command: Command = { type: 'noteCrashes', at: 0, crashes, answered: [] };
    log.apply(JSON.stringify(command));
  }
});

afterEach(async () => {
  await Promise.all(controls.map((control) => control.close()));
});

// Guards against an operator who can't see what is held back, why and since when, and can't end it.
describe('quarantines', () => {
  it('are listed with the crashes that they are for, until an operator releases them', async () => {
    const listed = await runCommand(controls, ['quarantines']);
    expect(listed.exitCode).toBe(exitCodes.ok);
    expect(listed.output).toMatch(/segment\/engines\/91bd3f06 +2026-12-02.*i-1 i-2 i-3/);
    const released = await runCommand(controls, ['release', subject]);
    expect(released.output).toContain('is released');
    expect((await runCommand(controls, ['quarantines'])).output).toBe('nothing is quarantined\n');
    const again = await runCommand(controls, ['--json', 'release', subject]);
    expect(JSON.parse(again.output)).toEqual({ subject, isChanged: false });
  });

  it('are released by the next control host after a lost answer', async () => {
    controls[0]?.faults.push('loseRequest');
    expect((await runCommand(controls, ['release', subject])).exitCode).toBe(exitCodes.ok);
    expect(log.machine.read().routing.suspects.size).toBe(0);
  });
});
