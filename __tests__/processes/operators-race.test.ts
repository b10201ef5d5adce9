import { setTimeout as sleep } from 'node:timers/promises';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { exitCodes } from '../../src/cli/exit-codes.js';
import type { AcceptedChange, ConfigurationView } from '../../src/control/state/index.js';
import { createFleetConfiguration, Fleet, waitFor } from '../support/index.js';
import { findLeader, readInForce, readView, waitForInForce } from './fleet-views.js';

/** Operators at the command line who change the same configuration at the same moment, or lose an answer. */

interface ChangeAnswer {
  readonly revision: number;
  readonly changeId: string;
}

interface ConflictAnswer {
  readonly error: { readonly code: string };
  readonly winner: AcceptedChange;
  readonly differences: readonly string[];
}

const races = 5;
/** Time for the command line to start and send; the verdict does not hang on it. */
const commandStartMilliseconds = 700;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start({ controls: 3, gateways: 2, engineHosts: 2, replicaSize: 2 });
});

afterAll(async () => {
  await fleet.stop();
});

/** A file of its own for each operator, with another downtime weight in each. */
function writeConfiguration(name: string, groupDowntimeWeight: number): Promise<string> {
  const configuration = {
    ...createFleetConfiguration(2),
    policy: { leaseMilliseconds: 1000, groupDowntimeWeight },
  };
  return fleet.group.write(`${name}.jsonc`, JSON.stringify(configuration));
}

function apply(
  control: readonly string[],
  commandArguments: readonly string[],
): ReturnType<Fleet['runCommand']> {
  const addresses = control.flatMap((name) => ['--control', fleet.member(name).address]);
  return fleet.group.run('pistachiospoke', [...addresses, '--json', 'apply', ...commandArguments]);
}

async function readRevision(): Promise<number> {
  return (await readInForce(fleet)).revision;
}

describe('operators who race', () => {
  /*
   * Symptom: an operator's change is gone and nobody was told.
   * Sequence: two change the same revision at the same moment, each through another control host.
   * Cause: a base compared where the change comes in, not where it is applied.
   */
  it('from one revision: one is accepted, the other is shown the winner', async () => {
    for (let race = 1; race <= races; race += 1) {
      const base = await readRevision();
      const files = [
        await writeConfiguration('one', 10 * race + 1),
        await writeConfiguration('two', 10 * race + 2),
      ];
      const results = await Promise.all(
        files.map((file, index) => apply([`control-${index + 1}`], [file, '--base', `${base}`])),
      );
      const won = results.filter(({ exit }) => exit.code === exitCodes.ok);
      const lost = results.filter(({ exit }) => exit.code === exitCodes.conflict);
      expect([won.length, lost.length]).toEqual([1, 1]);
      const winner = JSON.parse(won[0]?.output ?? '') as ChangeAnswer;
      const conflict = JSON.parse(lost[0]?.output ?? '') as ConflictAnswer;
      expect(winner.revision).toBe(base + 1);
      expect(conflict.error.code).toBe('revisionConflict');
      expect(conflict.winner.changeId).toBe(winner.changeId);
      expect(conflict.differences).not.toEqual([]);
      expect((await waitForInForce(fleet, base + 1)).revision).toBe(base + 1);
    }
  });
});

describe('an operator who loses the answer', () => {
  /*
   * Symptom: a change is made twice, or its resend is told of a conflict with itself.
   * Sequence: the followers are frozen, so the leader has the change and cannot answer; SIGKILL of the leader; the followers
   * go on; the same change is sent again to them, twice.
   * Cause: a resend that is not known as one, whether the first copy reached a follower or not.
   */
  it('resends it with the same change id and gets the first answer', async () => {
    const base = await readRevision();
    const leader = await findLeader(fleet);
    const others = fleet.list('control').filter(({ name }) => name !== leader);
    const file = await writeConfiguration('lost', 999);
    const change = [file, '--change-id', 'lost-answer', '--base', `${base}`];
    for (const { program } of others) {
      program.signal('SIGSTOP');
    }
    const first = apply([leader], change);
    await sleep(commandStartMilliseconds);
    fleet.member(leader).program.signal('SIGKILL');
    for (const { program } of others) {
      program.signal('SIGCONT');
    }
    expect((await first).exit.code).toBe(exitCodes.unavailable);
    const names = others.map(({ name }) => name);
    const resent = await waitFor('the resend to be answered', async () => {
      const result = await apply(names, change);
      return result.exit.code === exitCodes.unavailable ? undefined : result;
    });
    expect(resent.exit.code).toBe(exitCodes.ok);
    expect(JSON.parse(resent.output)).toMatchObject({ revision: base + 1 });
    expect((await apply(names, change)).output).toBe(resent.output);
    fleet.start(leader);
    expect((await waitForInForce(fleet, base + 1)).revision).toBe(base + 1);
    const { history } = await readView<ConfigurationView>(fleet, ['get', '--history']);
    expect(history.filter(({ changeId }) => changeId === 'lost-answer')).toHaveLength(1);
  });
});
