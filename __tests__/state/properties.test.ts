import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  applyCommand,
  claimLifetimeMilliseconds,
  ControlStateMachine,
  initialControlState,
  type ApplyResult,
  type Command,
  type ControlState,
} from '../../src/control/state/index.js';
import { isChange, propertyParameters, steps, type TimedStep } from './commands.js';

const hour = 3_600_000;

interface Transition {
  readonly command: Command;
  readonly before: ControlState;
  readonly applied: ApplyResult;
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

describe('replicated state of control under random commands', () => {
  // Guards against two operators both being told "accepted" although one change overwrites the other. Both changes are based on
  // revision 7 and are committed one after the other, and the base revision is compared only on receipt, not on application.
  it('accepts one change per revision, each based on the previous revision', () => {
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

  // Guards against applying a resent change twice or refusing it. A change is accepted, its answer is lost, other changes
  // follow, and the same command arrives again with a new leader timestamp. It fails if the answer was not kept, or if the
  // timestamp counts as part of the change.
  it('gives a resent change its first answer and changes nothing', () => {
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

  // Guards against a sidecar mistaking an order of an earlier placement for a current one. A group is placed, dissolved and
  // placed again with other members. It fails if numbers are counted per group, or reused after a group is dissolved.
  it('assigns increasing fencing numbers, one to each placement', () => {
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

  // Guards against two groups asking one host for leases, so that neither becomes complete. Two placements, each valid by
  // itself, name the same host. It fails if a placement is checked only against the groups that the decision was based on,
  // not against those that exist when it is applied.
  it('never places a host in two groups and refuses decisions from before the last placement', () => {
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

  // Guards against running a request twice: the council, for example, would receive one submission twice. The caller repeats
  // a request through another gateway while the first runs, or afterwards, and the second claim of the key is granted
  // although the first was neither freed nor expired.
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

  // Guards against a control host that answers a resent change or a repeated request differently from the others after it
  // restarts from a snapshot. It fails if the snapshot lacks something that answers depend on.
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
