import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { exitCodes } from '../../src/cli/index.js';
import { FakeControl, FakeReplicatedLog, runCommand } from './fake-control.js';

const files = {
  'one.jsonc': '{ "policy": { "concurrentLoads": 2 } } // quieter weight store',
  'two.jsonc': '{ "policy": { "concurrentLoads": 4 } }',
  'wrong.jsonc': '{\n  "policy": { "concurrentLoads": 0 }\n}',
};

let log: FakeReplicatedLog;
let controls: readonly FakeControl[];

beforeEach(async () => {
  log = new FakeReplicatedLog();
  controls = [new FakeControl('control-1', log), new FakeControl('control-2', log)];
  await Promise.all(controls.map((control) => control.open()));
});

afterEach(async () => {
  await Promise.all(controls.map((control) => control.close()));
});

describe('changes by the command line', () => {
  // Symptom: a change is accepted twice, or reported as a conflict with itself.
  // Sequence: control-1 commits the change and dies before its answer arrives; control-2 is asked next.
  // Cause: the second submission carried another change id, or was made from a newly read base.
  it('sends the same change to the next control host after a lost answer', async () => {
    controls[0]?.faults.push('loseAnswer');
    const result = await runCommand(controls, ['apply', 'one.jsonc'], files);
    expect(result.exitCode).toBe(exitCodes.ok);
    expect(result.output).toContain('revision 1 accepted (change id made-1, base 0)');
    expect(log.submissions).toHaveLength(2);
    expect(log.submissions[1]).toBe(log.submissions[0]);
    expect(log.machine.read().history).toHaveLength(1);
  });

  // Symptom: an operator is told "not accepted", makes the change again, and it is applied twice.
  // Sequence: every control host loses the answer; the change may or may not be committed.
  // Cause: a lost answer was reported as a refusal.
  it('says that a change is uncertain, and how to resend it, when every answer is lost', async () => {
    controls[0]?.faults.push(...Array<'loseAnswer'>(6).fill('loseAnswer'));
    const result = await runCommand(controls.slice(0, 1), ['apply', 'one.jsonc'], files);
    expect(result.exitCode).toBe(exitCodes.unavailable);
    expect(result.errors).toContain('changeUncertain (4004)');
    expect(result.errors).toContain('apply one.jsonc --change-id made-1 --base 0');
    const resent = ['apply', 'one.jsonc', '--change-id', 'made-1', '--base', '0'];
    const again = await runCommand(controls, resent, files);
    expect(again.output).toContain('revision 1 accepted');
  });

  it('says that a change was not accepted when no control host took it', async () => {
    controls.forEach((control) => control.faults.push(...Array<'noQuorum'>(6).fill('noQuorum')));
    const result = await runCommand(controls, ['apply', 'one.jsonc'], files);
    expect(result.exitCode).toBe(exitCodes.unavailable);
    expect(result.errors).toContain('noQuorum (4003)');
    expect(log.submissions).toHaveLength(0);
  });

  // Symptom: a resend hours later silently reverts what others changed in the meantime.
  // Sequence: the first submission never arrived; others change; the operator resends with the change id only.
  // Cause: the resend was made from a newly read base, so no conflict was detected.
  it('requires the base with a change id', async () => {
    const result = await runCommand(controls, ['apply', 'one.jsonc', '--change-id', 'x'], files);
    expect(result.exitCode).toBe(exitCodes.usage);
    expect(log.submissions).toHaveLength(0);
  });

  // Symptom: a change that was accepted is gone, and no conflict was reported.
  // Sequence: amina and yonas both get revision 1 and edit; amina applies, then yonas applies.
  // Cause: the base was read when the file was applied, not when `get` wrote it.
  it('takes the revision that the file was got from as the base', async () => {
    await runCommand(controls, ['apply', 'one.jsonc'], files);
    const { output } = await runCommand(controls, ['get']);
    const hers = { 'edit.jsonc': output.replace('"concurrentLoads": 2', '"concurrentLoads": 3') };
    const his = { 'edit.jsonc': output.replace('2000', '3000') };
    const amina = ['apply', 'edit.jsonc', '--change-id', 'hers', '--base', '1'];
    expect((await runCommand(controls, amina, hers)).exitCode).toBe(exitCodes.ok);
    const result = await runCommand(controls, ['--operator', 'yonas', 'apply', 'edit.jsonc'], his);
    expect(result.exitCode).toBe(exitCodes.conflict);
    expect(result.errors).toContain('winner: revision 2 by amina');
  });

  it('changes nothing when nothing differs', async () => {
    await runCommand(controls, ['apply', 'one.jsonc'], files);
    const result = await runCommand(controls, ['apply', 'one.jsonc'], files);
    expect(result.output).toBe('nothing differs from revision 1; nothing was changed\n');
    expect(log.submissions).toHaveLength(1);
  });
});

describe('a read without a quorum', () => {
  // Symptom: control has lost its quorum, and the command that shows control hosts shows nothing.
  // Sequence: two of three control hosts die; the operator asks for the state of each.
  // Cause: the table of control hosts depended on an answer that only a leader gives.
  it('still shows where each control host stands', async () => {
    controls.forEach((control) => (control.isLeaderless = true));
    const result = await runCommand(controls, ['get', '--in-force']);
    expect(result.exitCode).toBe(exitCodes.unavailable);
    expect(result.errors).toContain('notFresh (4007)');
    expect(result.errors).toMatch(/control-2 +127\.0\.0\.1:\d+ +follower +yes/);
  });
});

describe('exit codes', () => {
  it.each([
    [exitCodes.ok, ['get']],
    [exitCodes.ok, ['--help']],
    [exitCodes.ok, ['check', 'one.jsonc']],
    [exitCodes.usage, ['frobnicate']],
    [exitCodes.usage, ['apply']],
    [exitCodes.usage, ['label', 'host-1', 'pool']],
    [exitCodes.usage, ['--control', 'localhost:1', 'get']],
    [exitCodes.invalidFile, ['check', 'wrong.jsonc']],
    [exitCodes.invalidFile, ['check', 'missing.jsonc']],
    [exitCodes.invalidFile, ['check', '--as', 'gateway', 'one.jsonc']],
    [exitCodes.invalidFile, ['apply', 'wrong.jsonc']],
    [exitCodes.conflict, ['apply', 'one.jsonc', '--base', '7']],
    [exitCodes.notFound, ['drain', 'host-9']],
  ])('%i for %j', async (exitCode, argv) => {
    expect((await runCommand(controls, argv, files)).exitCode).toBe(exitCode);
  });

  it('5 when no control host is there', async () => {
    const gone = new FakeControl('gone', log);
    await gone.open();
    const { address } = gone;
    await gone.close();
    const result = await runCommand([], ['--control', address, 'hosts']);
    expect(result.exitCode).toBe(exitCodes.unavailable);
  });
});

describe('results for programs', () => {
  it('gives one JSON value for a change, a conflict and a read', async () => {
    const accepted = await runCommand(controls, ['--json', 'apply', 'one.jsonc'], files);
    expect(JSON.parse(accepted.output)).toEqual({
      revision: 1,
      changeId: 'made-1',
      baseRevision: 0,
    });
    const rival = [
      '--json',
      '--operator',
      'yonas',
      'apply',
      'two.jsonc',
      '--change-id',
      'rival',
      '--base',
      '0',
    ];
    const refused = await runCommand(controls, rival, files);
    expect(JSON.parse(refused.output)).toMatchObject({
      error: { code: 'revisionConflict', number: 4001 },
      winner: { revision: 1, changeId: 'made-1', operator: 'amina' },
      differences: ['policy: concurrentLoads 2 -> 4'],
      changeId: 'rival',
    });
    const read = await runCommand(controls, ['--json', 'hosts']);
    expect(JSON.parse(read.output)).toMatchObject({
      revision: 1,
      hosts: [{ host: 'host-1' }, {}, {}],
    });
  });
});

describe('a session of two operators', () => {
  it('reads as in the golden file', async () => {
    const session = [
      ['check', 'wrong.jsonc'],
      ['apply', 'one.jsonc', '--change-id', 'amina-1', '--base', '0'],
      ['--operator', 'yonas', 'apply', 'two.jsonc', '--change-id', 'yonas-1', '--base', '0'],
      ['--operator', 'yonas', 'apply', 'two.jsonc', '--change-id', 'yonas-1', '--base', '0'],
      ['apply', 'two.jsonc', '--change-id', 'amina-1', '--base', '1'],
      ['apply', 'one.jsonc', '--change-id', 'amina-1', '--base', '0'],
      ['--operator', 'yonas', 'apply', 'two.jsonc'],
      ['label', 'host-1', 'pool=spare', 'rack-', '--change-id', 'amina-2', '--base', '2'],
      ['drain', 'host-1', '--change-id', 'yonas-2', '--base', '2'],
      ['drain', 'host-1', '--change-id', 'yonas-3', '--base', '3'],
      ['drain', 'host-1', '--undo', '--change-id', 'yonas-4', '--base', '4'],
      ['drain', 'hots-1'],
      ['get', '--history'],
      ['get'],
      ['get', '--in-force'],
      ['hosts'],
      ['groups'],
    ];
    let text = '';
    for (const argv of session) {
      const { exitCode, output, errors } = await runCommand(controls, argv, files);
      text += `$ pistachiospoke ${argv.join(' ')}\n${output}${errors}(exit code ${exitCode})\n\n`;
    }
    controls.forEach((control, index) => {
      text = text.replaceAll(
        control.address,
        `10.0.1.${index + 1}:8501`.padEnd(control.address.length),
      );
    });
    await expect(text).toMatchFileSnapshot('../golden/operators-race.txt');
  });
});
