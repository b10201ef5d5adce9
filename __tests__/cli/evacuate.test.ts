import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { exitCodes } from '../../src/cli/index.js';
import { FakeControl, FakeReplicatedLog, runCommand } from './fake-control.js';

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

function listEvacuated(): readonly string[] {
  return [...log.machine.read().routing.evacuations.keys()];
}

describe('evacuate', () => {
  // Guards against a flag that is ignored, which would start what was to end, and against an operator who can't tell whether anything changed.
  it('starts and ends an evacuation and says whether that changed anything', async () => {
    const started = await runCommand(controls, ['evacuate', 'bole']);
    expect(started.exitCode).toBe(exitCodes.ok);
    expect(started.output).toContain('failure domain bole is being evacuated');
    expect(listEvacuated()).toEqual(['bole']);
    const again = await runCommand(controls, ['evacuate', 'bole']);
    expect(again.output).toContain('was already being evacuated');
    const ended = await runCommand(controls, ['--json', 'evacuate', 'bole', '--end']);
    expect(JSON.parse(ended.output)).toEqual({
      failureDomain: 'bole',
      action: 'end',
      isChanged: true,
    });
    expect(listEvacuated()).toEqual([]);
  });

  // Guards against an order that is reported as refused because the control host that committed it lost its answer.
  it('is sent to the next control host after a lost answer', async () => {
    controls[0]?.faults.push('loseAnswer');
    const result = await runCommand(controls, ['evacuate', 'bole']);
    expect(result.exitCode).toBe(exitCodes.ok);
    expect(listEvacuated()).toEqual(['bole']);
  });

  // Guards against "done" for an order that no control host took.
  it('ends with "unavailable" when no control host takes the order', async () => {
    controls.forEach((control) => control.faults.push(...Array<'noQuorum'>(6).fill('noQuorum')));
    const result = await runCommand(controls, ['evacuate', 'bole']);
    expect(result.exitCode).toBe(exitCodes.unavailable);
    expect(listEvacuated()).toEqual([]);
  });
});

describe('evacuations', () => {
  // Guards against an operator who doesn't see what an evacuation still waits for.
  it('lists since when a domain is evacuated, and what is left there', async () => {
    expect((await runCommand(controls, ['evacuations'])).output).toBe(
      'no failure domain is evacuated\n',
    );
    await runCommand(controls, ['evacuate', 'bole']);
    const { output } = await runCommand(controls, ['evacuations']);
    expect(output).toContain('2026-12-02T08:01:00Z');
    expect(output).toContain('waits for groups, requests');
    expect(output).toContain('small/3 small/9');
  });
});
