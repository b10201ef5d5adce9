import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import {
  applyCommand,
  initialControlState,
  type Change,
  type ControlState,
} from '../../src/control/state/index.js';
import { changeSteps, isChange, propertyParameters } from './commands.js';

/** Reference model that the replicated state must match: a single copy with plain lists and no snapshots. */
class NaiveRegister {
  readonly #all: { readonly change: Change; readonly answer: string }[] = [];
  readonly #accepted: Change[] = [];

  submit(change: Change): string {
    const first = this.#all.find((other) => other.change.changeId === change.changeId);
    if (first !== undefined) {
      const isResend = JSON.stringify(first.change) === JSON.stringify(change);
      return isResend ? first.answer : 'changeIdReused';
    }
    const answer =
      change.baseRevision === this.#accepted.length ? this.#accept(change) : 'revisionConflict';
    this.#all.push({ change, answer });
    return answer;
  }

  /** Replays every accepted change from the start. */
  describe(): unknown {
    const labels: Record<string, string | null> = {};
    const draining = new Set<string>();
    let weight = 1;
    for (const change of this.#accepted) {
      if (change.type === 'setHostLabels') {
        labels[change.host] = change.labels.pool ?? null;
      } else if (change.type === 'setHostDrain') {
        draining.delete(change.host);
        if (change.isDraining) {
          draining.add(change.host);
        }
      } else {
        weight = change.document.policy.groupDowntimeWeight;
      }
    }
    return { labels, draining, weight, revision: this.#accepted.length };
  }

  #accept(change: Change): string {
    this.#accepted.push(change);
    return `accepted ${this.#accepted.length}`;
  }
}

function describeState(state: ControlState): unknown {
  const overrides = [...state.overrides];
  const labels = overrides
    .filter(([, override]) => 'pool' in override.labels)
    .map(([host, override]) => [host, override.labels.pool]);
  const draining = overrides.filter(([, override]) => override.isDraining).map(([host]) => host);
  return {
    labels: Object.fromEntries(labels) as unknown,
    draining: new Set(draining),
    weight: state.configuration.policy.groupDowntimeWeight,
    revision: state.revision,
  };
}

describe('changes compared with a naive single-copy register', () => {
  it('gives the same answers and ends in the same state', () => {
    fc.assert(
      fc.property(changeSteps, (steps) => {
        const naive = new NaiveRegister();
        let state = initialControlState;
        for (const step of steps) {
          const command = step(state, 0);
          if (!isChange(command)) {
            continue;
          }
          const { state: next, answer } = applyCommand(state, command);
          const said =
            answer.type === 'changed'
              ? `accepted ${answer.revision}`
              : answer.type === 'refused'
                ? answer.failure.code
                : answer.type;
          expect(said).toBe(naive.submit(command));
          state = next;
        }
        expect(describeState(state)).toEqual(naive.describe());
      }),
      propertyParameters,
    );
  });
});
