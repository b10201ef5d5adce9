import { assertNever, createFailure, type Failure } from '../../common/index.js';
import { describeDifferences, summarizeDifferences } from '../../configuration/index.js';
import type { HostName } from '../../model/index.js';
import type { Change } from './commands.js';
import { computeChangeFingerprint } from './fingerprint.js';
import type {
  AcceptedChange,
  Applied,
  ChangeAnswer,
  CommandAnswer,
  ControlState,
  HostOverride,
} from './state.js';

/**
 * Changes by operators: a resend gets the first answer, and of changes made from one revision exactly one wins.
 *
 * Answers are part of the state, so they outlive restarts, snapshots and leader changes. The newest 2,000 are kept.
 * Dropping older ones is safe: a change that was accepted was made from a revision that has passed since, so its
 * resend is refused as a conflict and never applied twice.
 */

/** How many answers are kept for resends. */
export const keptAnswers = 2000;
/** How many accepted changes are kept to show the winner of a conflict. */
export const keptHistory = 500;

const shownDifferences = 20;

const noOverride: HostOverride = { labels: {}, isDraining: false };

/** Accepts or refuses a change, once for each change id. */
export function applyChange(state: ControlState, change: Change): Applied {
  const fingerprint = computeChangeFingerprint(change);
  const first = state.answers.get(change.changeId);
  if (first !== undefined) {
    return { state, answer: repeatAnswer(first, fingerprint) };
  }
  if (change.baseRevision !== state.revision) {
    return refuseConflict(state, change, fingerprint);
  }
  return accept(state, change, fingerprint);
}

function repeatAnswer(first: ChangeAnswer, fingerprint: string): CommandAnswer {
  if (first.fingerprint !== fingerprint) {
    const detail = `Change id ${first.changeId} was first answered at revision ${first.revision}.`;
    const failure = createFailure('changeIdReused', detail);
    return { type: 'refused', failure, winner: undefined, differences: [] };
  }
  if (first.failure === undefined) {
    return { type: 'changed', revision: first.revision };
  }
  const { failure, winner, differences } = first;
  return { type: 'refused', failure, winner, differences };
}

function refuseConflict(state: ControlState, change: Change, fingerprint: string): Applied {
  const failure = describeConflict(state, change);
  const winner = findWinner(state, change);
  const differences = describeChange(state, change).slice(0, shownDifferences);
  const answer = createAnswer(change, fingerprint, { state, failure, winner, differences });
  return {
    state: { ...state, answers: keepAnswer(state, answer) },
    answer: { type: 'refused', failure, winner, differences },
  };
}

function describeConflict(state: ControlState, change: Change): Failure {
  const detail = `Made from revision ${change.baseRevision}; the present one is ${state.revision}.`;
  return createFailure('revisionConflict', detail);
}

/** The change that was accepted from the same revision, or the oldest one still known after it. */
function findWinner(state: ControlState, change: Change): AcceptedChange | undefined {
  return state.history.find((accepted) => accepted.revision > change.baseRevision);
}

function accept(state: ControlState, change: Change, fingerprint: string): Applied {
  const revision = state.revision + 1;
  const accepted: AcceptedChange = {
    revision,
    changeId: change.changeId,
    operator: change.operator,
    at: change.at,
    summary: summarizeDifferences(describeChange(state, change)),
  };
  const changed: ControlState = {
    ...carryOut(state, change),
    revision,
    history: [...state.history, accepted].slice(-keptHistory),
  };
  const answer = createAnswer(change, fingerprint, {
    state: changed,
    failure: undefined,
    winner: undefined,
    differences: [],
  });
  return {
    state: { ...changed, answers: keepAnswer(changed, answer) },
    answer: { type: 'changed', revision },
  };
}

function carryOut(state: ControlState, change: Change): ControlState {
  switch (change.type) {
    case 'applyConfiguration':
      return { ...state, configuration: change.document };
    case 'setHostLabels': {
      const present = state.overrides.get(change.host) ?? noOverride;
      const labels = { ...present.labels, ...change.labels };
      return withOverride(state, change.host, { ...present, labels });
    }
    case 'setHostDrain': {
      const present = state.overrides.get(change.host) ?? noOverride;
      return withOverride(state, change.host, { ...present, isDraining: change.isDraining });
    }
    default:
      return assertNever(change);
  }
}

function withOverride(state: ControlState, host: HostName, override: HostOverride): ControlState {
  return { ...state, overrides: new Map(state.overrides).set(host, override) };
}

/** What the change would make differ from the present state, one line each. */
function describeChange(state: ControlState, change: Change): readonly string[] {
  switch (change.type) {
    case 'applyConfiguration':
      return describeDifferences(state.configuration, change.document);
    case 'setHostLabels': {
      const present = state.overrides.get(change.host)?.labels ?? {};
      return Object.entries(change.labels)
        .filter(([key, value]) => present[key] !== value)
        .map(
          ([key, value]) =>
            `host ${change.host}: label ${key} ${describeLabel(present[key])} -> ${describeLabel(value)}`,
        );
    }
    case 'setHostDrain': {
      const present = state.overrides.get(change.host)?.isDraining ?? false;
      return present === change.isDraining
        ? []
        : [
            `host ${change.host}: drain ${describeSwitch(present)} -> ${describeSwitch(change.isDraining)}`,
          ];
    }
    default:
      return assertNever(change);
  }
}

function describeLabel(value: string | null | undefined): string {
  if (value === undefined) {
    return 'as announced';
  }
  return value === null ? 'removed' : JSON.stringify(value);
}

function describeSwitch(isOn: boolean): string {
  return isOn ? 'on' : 'off';
}

interface Decision {
  readonly state: ControlState;
  readonly failure: Failure | undefined;
  readonly winner: AcceptedChange | undefined;
  readonly differences: readonly string[];
}

function createAnswer(change: Change, fingerprint: string, decision: Decision): ChangeAnswer {
  return {
    changeId: change.changeId,
    fingerprint,
    revision: decision.state.revision,
    failure: decision.failure,
    winner: decision.winner,
    differences: decision.differences,
    at: change.at,
  };
}

/** Adds the answer as the newest; a map keeps the order of insertion, so the first entries are the oldest. */
function keepAnswer(state: ControlState, answer: ChangeAnswer): ControlState['answers'] {
  const answers = new Map(state.answers).set(answer.changeId, answer);
  const surplus = answers.size - keptAnswers;
  [...answers.keys()]
    .slice(0, Math.max(0, surplus))
    .forEach((changeId) => answers.delete(changeId));
  return answers;
}
