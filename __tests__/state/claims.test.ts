import { describe, expect, it } from 'vitest';

import {
  applyCommand,
  initialControlState,
  type Command,
  type CommandAnswer,
  type ControlState,
} from '../../src/control/state/index.js';

const hour = 3_600_000;

function claim(requestId: string, at: number, fingerprint = 'body'): Command {
  return { type: 'claimKey', at, account: 'desk', key: 'key-1', fingerprint, requestId };
}

function settle(requestId: string, at: number, outcome: 'notRun' | 'ran' | 'unknown'): Command {
  return { type: 'settleClaim', at, account: 'desk', key: 'key-1', requestId, outcome };
}

/** Answers to the commands in order; a refusal gives its result code. */
function answerAll(commands: readonly Command[]): readonly string[] {
  let state: ControlState = initialControlState;
  return commands.map((command) => {
    const applied = applyCommand(state, command);
    state = applied.state;
    return formatAnswer(applied.answer);
  });
}

function formatAnswer(answer: CommandAnswer): string {
  return answer.type === 'refused' ? answer.failure.code : answer.type;
}

describe('claims of idempotency keys', () => {
  it('answers a repeated request with the state of the first one', () => {
    const answers = answerAll([
      claim('first', 0),
      claim('repeat', 1),
      claim('other', 2, 'another body'),
      settle('first', 3, 'unknown'),
      claim('repeat', 4),
      settle('first', 5, 'ran'),
      claim('repeat', 6),
    ]);
    expect(answers).toEqual([
      'claimed',
      'duplicateInProgress',
      'idempotencyConflict',
      'settled',
      'duplicateInProgress',
      'settled',
      'duplicateFinished',
    ]);
  });

  // Guards against refusing a caller for a day after telling it "not run". The gateway gives up on its claim as uncertain and
  // settles it as not run; then the claim commits and holds the key for a request that never runs.
  it('refuses a claim that arrives after its own request was settled as not run', () => {
    const answers = answerAll([
      settle('first', 0, 'notRun'),
      claim('first', 1),
      claim('second', 2),
    ]);
    expect(answers).toEqual(['settled', 'tombstoned', 'claimed']);
  });

  // Guards against running a request twice within a day although its key was claimed. The first request ran; a late report of
  // an earlier attempt says not run and must not overwrite the final outcome; then the caller repeats the request.
  it('keeps the first final outcome', () => {
    const answers = answerAll([
      claim('first', 0),
      settle('first', 1, 'ran'),
      settle('first', 2, 'notRun'),
      settle('stranger', 3, 'notRun'),
      claim('repeat', 4),
    ]);
    expect(answers.at(-1)).toBe('duplicateFinished');
  });

  it('keeps a claim for 24 hours from its own time', () => {
    const commands = [claim('first', 0), settle('first', hour, 'ran')];
    expect(answerAll([...commands, claim('repeat', 24 * hour - 1)]).at(-1)).toBe(
      'duplicateFinished',
    );
    expect(answerAll([...commands, claim('repeat', 24 * hour)]).at(-1)).toBe('claimed');
  });

  it('drops expired claims as commands are applied', () => {
    let { state } = applyCommand(initialControlState, claim('first', 0));
    for (let step = 0; step < 4096; step += 1) {
      state = applyCommand(state, settle('nobody', 24 * hour, 'notRun')).state;
    }
    expect(state.claims.list().map((left) => left.requestId)).toEqual(['nobody']);
  });
});
