import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  applyCommand,
  claimLifetimeMilliseconds,
  ControlStateMachine,
  initialControlState,
  type Applied,
  type Command,
  type ControlState,
} from '../../src/control/state/index.js';
import { isChange, propertyParameters, steps, type TimedStep } from './commands.js';

const hour = 3_600_000;

interface Transition {
  readonly command: Command;
  readonly before: ControlState;
  readonly applied: Applied;
}

function run(timedSteps: readonly TimedStep[]): readonly Transition[] {
  let state = initialControlState;
  let at = 1_000_000;
  return timedSteps.map(({ step, hours }) => {
    at += hours * hour;
    const before = state;
    const command = step(before, at);
    const applied = applyCommand(before, command);
    state = applied.state;
    return { command, before, applied };
  });
}

function holds(check: (transitions: readonly Transition[]) => void): void {
  fc.assert(
    fc.property(steps, (timedSteps) => {
      check(run(timedSteps));
    }),
    propertyParameters,
  );
}

describe('replicated state of control, random commands', () => {
  // Symptom: two operators both read "accepted" and one of them finds the other's change in force.
  // Sequence: both change revision 7; both commands are committed, one after the other.
  // Cause: the base revision is not compared when the command is applied, only when it is received.
  it('accepts one change a revision, each made from the revision before it', () => {
    holds((transitions) => {
      const winners = new Map<number, string>();
      for (const { command, before, applied } of transitions) {
        if (!isChange(command)) {
          expect(applied.state.revision).toBe(before.revision);
        } else if (applied.state.revision !== before.revision) {
          expect(applied.state.revision).toBe(before.revision + 1);
          expect(command.baseRevision).toBe(before.revision);
          expect(winners.has(applied.state.revision)).toBe(false);
          winners.set(applied.state.revision, command.changeId);
        }
      }
    });
  });

  // Symptom: an operator who lost the answer resends, and the change is applied a second time or refused.
  // Sequence: change accepted, answer lost, other changes, same command again (with the leader's new time).
  // Cause: the answer was not kept, or the leader's stamp counted as part of the change.
  it('answers a resent change as it did first and changes nothing', () => {
    holds((transitions) => {
      const last = transitions.at(-1)?.applied.state ?? initialControlState;
      const firstAnswers = new Map<string, Transition>();
      for (const transition of transitions) {
        const { command } = transition;
        if (isChange(command) && !firstAnswers.has(command.changeId)) {
          firstAnswers.set(command.changeId, transition);
        }
      }
      for (const { command, applied } of firstAnswers.values()) {
        const again = applyCommand(last, { ...command, at: command.at + 5 });
        expect(again.answer).toEqual(applied.answer);
        expect(again.state.revision).toBe(last.revision);
        expect(again.state.overrides).toEqual(last.overrides);
      }
    });
  });

  // Symptom: a sidecar takes an order of an earlier placement for the present one.
  // Sequence: group placed, dissolved, placed again with other members.
  // Cause: the number was counted per group, or given back by a dissolved one.
  it('gives fencing numbers that only grow, one to each placement', () => {
    holds((transitions) => {
      const owners = new Map<number, string>();
      for (const { before, applied } of transitions) {
        expect(applied.state.fencingNumber).toBeGreaterThanOrEqual(before.fencingNumber);
        for (const group of applied.state.groups.values()) {
          const previous = before.groups.get(group.name);
          const owner = JSON.stringify([group.name, group.members]);
          expect(group.fencingNumber).toBeLessThanOrEqual(applied.state.fencingNumber);
          expect(owners.get(group.fencingNumber) ?? owner).toBe(owner);
          expect(group.fencingNumber).toBeGreaterThanOrEqual(previous?.fencingNumber ?? 0);
          owners.set(group.fencingNumber, owner);
        }
      }
    });
  });

  // Symptom: a host is asked for leases by two groups and neither becomes whole.
  // Sequence: two placements, each right by itself, name the same host.
  // Cause: the placement is checked against the groups it was decided from, not against those it meets.
  it('never places a host in two groups and ignores decisions from before the last placement', () => {
    holds((transitions) => {
      for (const { command, before, applied } of transitions) {
        const hosts = [...applied.state.groups.values()].flatMap((group) =>
          group.members.map((member) => member.host),
        );
        expect(new Set(hosts).size).toBe(hosts.length);
        if (command.type === 'placeGroups' && command.basedOn < before.groupsIndex) {
          expect(applied.answer.type).toBe('refused');
          expect(applied.state.groups).toBe(before.groups);
        }
      }
    });
  });

  // Symptom: the council receives one submission twice.
  // Sequence: the caller repeats a request through another gateway while, or after, the first runs.
  // Cause: the second claim of the key is granted although the first was not freed and has not expired.
  it('grants a key to one request until it is freed or expires', () => {
    holds((transitions) => {
      const owners = new Map<string, { readonly requestId: string; readonly at: number }>();
      for (const { command, applied } of transitions) {
        if (command.type === 'claimKey' && applied.answer.type === 'claimed') {
          const owner = owners.get(command.key);
          const isFree = owner === undefined || command.at - owner.at >= claimLifetimeMilliseconds;
          expect(isFree || owner.requestId === command.requestId).toBe(true);
          if (isFree) {
            owners.set(command.key, { requestId: command.requestId, at: command.at });
          }
        }
        if (command.type === 'settleClaim' && command.outcome === 'notRun') {
          const claim = applied.state.claims.find(command.account, command.key, command.at);
          if (claim?.state === 'notRun' && claim.requestId === owners.get(command.key)?.requestId) {
            owners.delete(command.key);
          }
        }
      }
    });
  });

  // Symptom: after a restart a control host answers a resend or a repeat differently from the others.
  // Sequence: commands, snapshot, restart from the snapshot, more commands.
  // Cause: something that answers depend on is missing from the snapshot.
  it('answers the same when it is restored from a snapshot after every command', () => {
    fc.assert(
      fc.property(steps, (timedSteps) => {
        const steady = new ControlStateMachine();
        let restored = new ControlStateMachine();
        run(timedSteps).forEach(({ command }, position) => {
          const text = JSON.stringify(command);
          expect(restored.apply(position + 1, text)).toEqual(steady.apply(position + 1, text));
          const snapshot = restored.takeSnapshot();
          restored = new ControlStateMachine();
          restored.restoreSnapshot(position + 1, snapshot);
        });
        expect(restored.read()).toEqual(steady.read());
      }),
      propertyParameters,
    );
  });
});
