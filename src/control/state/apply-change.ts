import { assertNever, createFailure, type Failure } from '../../common/index.js';
import { describeDifferences, summarizeDifferences } from '../../configuration/index.js';
import type { HostName } from '../../model/index.js';
import type { Change } from './commands.js';
import { computeChangeFingerprint } from './fingerprint.js';
import type {
  AcceptedChange,
  ApplyResult,
  ChangeAnswer,
  CommandAnswer,
  ControlState,
  HostOverride,
} from './state.js';

/**
 * Applies changes by operators, with optimistic concurrency control: of the changes based on one revision, exactly one
 * is accepted. A resent change gets its first answer.
 *
 * Answers are part of the state, so they survive restarts, snapshots and leader changes. The newest 2,000 are kept.
 * Dropping older ones is safe: the base revision of an accepted change is outdated, so its resend is refused as a
 * conflict and never applied twice.
 */

/** Number of answers kept for resent changes. */
export const maximumAnswers = 2000;
/** Number of accepted changes kept, to show the winner of a conflict. */
export const maximumHistory = 500;

const maximumDifferences = 20;

const emptyOverride: HostOverride = { labels: {}, isDraining: false };

/** Accepts or refuses a change; idempotent by change id. */
export function applyChange(state: ControlState, change: Change): ApplyResult {
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

function refuseConflict(state: ControlState, change: Change, fingerprint: string): ApplyResult {
  const failure = describeConflict(state, change);
  const winner = findWinner(state, change);
  const differences = describeChange(state, change).slice(0, maximumDifferences);
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

/** The change accepted from the same base revision, or the oldest later one still in the history. */
function findWinner(state: ControlState, change: Change): AcceptedChange | undefined {
  return state.history.find((accepted) => accepted.revision > change.baseRevision);
}

function accept(state: ControlState, change: Change, fingerprint: string): ApplyResult {
  const revision = state.revision + 1;
  const accepted: AcceptedChange = {
    revision,
    changeId: change.changeId,
    operator: change.operator,
    at: change.at,
    summary: summarizeDifferences(describeChange(state, change)),
  };
  const changed: ControlState = {
    ...applyToState(state, change),
    revision,
    history: [...state.history, accepted].slice(-maximumHistory),
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

function applyToState(state: ControlState, change: Change): ControlState {
  switch (change.type) {
    case 'applyConfiguration':
      return { ...state, configuration: change.document };
    case 'setHostLabels': {
      const present = state.overrides.get(change.host) ?? emptyOverride;
      const labels = { ...present.labels, ...change.labels };
      return setOverride(state, change.host, { ...present, labels });
    }
    case 'setHostDrain': {
      const present = state.overrides.get(change.host) ?? emptyOverride;
      return setOverride(state, change.host, { ...present, isDraining: change.isDraining });
    }
    default:
      return assertNever(change);
  }
}

function setOverride(state: ControlState, host: HostName, override: HostOverride): ControlState {
  return { ...state, overrides: new Map(state.overrides).set(host, override) };
}

/** How the change would alter the current state, one line for each difference. */
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

interface ChangeOutcome {
  readonly state: ControlState;
  readonly failure: Failure | undefined;
  readonly winner: AcceptedChange | undefined;
  readonly differences: readonly string[];
}

function createAnswer(change: Change, fingerprint: string, decision: ChangeOutcome): ChangeAnswer {
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

/** Adds the answer and drops the oldest ones; a map iterates in insertion order, so the first entries are the oldest. */
function keepAnswer(state: ControlState, answer: ChangeAnswer): ControlState['answers'] {
  const answers = new Map(state.answers).set(answer.changeId, answer);
  const surplus = answers.size - maximumAnswers;
  [...answers.keys()]
    .slice(0, Math.max(0, surplus))
    .forEach((changeId) => answers.delete(changeId));
  return answers;
}
