import { describe, expect, it } from 'vitest';

import {
  applyCommand,
  crashLifetimeMilliseconds,
  decodeSnapshot,
  encodeSnapshot,
  hasExpiredCrash,
  initialControlState,
  type Command,
  type ControlState,
} from '../../src/control/state/index.js';
import { formatSegmentSubject, listQuarantined, trialDelays } from '../../src/routing/index.js';

function noteCrashes(
  state: ControlState,
  changes: Partial<Extract<Command, { readonly type: 'noteCrashes' }>>,
): ControlState {
  const command: Command = { type: 'noteCrashes', at: 0, crashes: [], answered: [], ...changes };
  return applyCommand(state, command).state;
}

function noteCrash(
  state: ControlState,
  upstream: string,
  requests: string[],
  at = 0,
): ControlState {
  return noteCrashes(state, { at, crashes: [{ upstream, requests }] });
}

function noteThreeCrashes(request: string, at = 0): ControlState {
  return ['i-1', 'i-2', 'i-3'].reduce(
    (state, upstream) => noteCrash(state, upstream, [request], at),
    initialControlState,
  );
}

function listQuarantinedRequests({ routing }: ControlState): readonly string[] {
  return [...listQuarantined(routing.suspects)];
}

describe('requests that were in flight when upstreams crashed', () => {
  it('are quarantined after three crashes, each counted once however many gateways report it', () => {
    const once = noteCrash(initialControlState, 'i-1', ['a', 'b']);
    const again = noteCrash(noteCrash(once, 'i-1', ['a']), 'i-1', ['a']);
    const twice = noteCrash(again, 'i-2', ['a', 'b']);
    expect(listQuarantinedRequests(twice)).toEqual([]);
    expect(listQuarantinedRequests(noteCrash(twice, 'i-3', ['a']))).toEqual(['a']);
  });

  it('are cleared by a complete answer, even when quarantined', () => {
    const twice = noteCrash(noteCrash(initialControlState, 'i-1', ['a']), 'i-2', ['a']);
    const cleared = noteCrashes(twice, { answered: ['a'] });
    expect(listQuarantinedRequests(noteCrash(cleared, 'i-3', ['a']))).toEqual([]);
    expect(
      listQuarantinedRequests(noteCrashes(noteThreeCrashes('a'), { answered: ['a'] })),
    ).toEqual([]);
  });

  it('are forgotten after the crash lifetime, one crash at a time, before they are quarantined', () => {
    const twice = noteCrash(noteCrash(initialControlState, 'i-1', ['a'], 900), 'i-2', ['a'], 1000);
    const due = 1000 + crashLifetimeMilliseconds;
    expect(hasExpiredCrash(twice.routing.suspects, due - 1)).toBe(false);
    expect(hasExpiredCrash(twice.routing.suspects, due)).toBe(true);
    const once = noteCrashes(twice, { at: due });
    expect(once.routing.suspects.get('a')?.upstreams).toEqual(['i-2']);
    const never = noteCrashes(once, { at: due + crashLifetimeMilliseconds });
    expect(never.routing.suspects.size).toBe(0);
  });

  // Guards against subjects that crash a few more upstreams after each crash lifetime, without end.
  it('are never released by time once they are quarantined', () => {
    const quarantined = noteThreeCrashes('a', 1000);
    const muchLater = 1000 + 100 * crashLifetimeMilliseconds;
    expect(hasExpiredCrash(quarantined.routing.suspects, muchLater)).toBe(false);
    expect(listQuarantinedRequests(noteCrashes(quarantined, { at: muchLater }))).toEqual(['a']);
  });

  it('stay quarantined when the number of suspects exceeds the limit', () => {
    const others = Array.from({ length: 30_000 }, (_, index) => `other-${index}`);
    const state = noteCrash(noteThreeCrashes('a'), 'i-9', others, 5000);
    expect(state.routing.suspects.size).toBe(10_000);
    expect(listQuarantinedRequests(state)).toEqual(['a']);
  });

  it('can be released by an operator, and are quarantined again only by as many crashes', () => {
    const release: Command = { type: 'releaseSubject', at: 0, subject: 'a', operator: 'ann' };
    const released = applyCommand(noteThreeCrashes('a'), release);
    expect(released.answer).toEqual({ type: 'subjectReleased', isChanged: true });
    expect(applyCommand(released.state, release).answer).toEqual({
      type: 'subjectReleased',
      isChanged: false,
    });
    const twice = noteCrash(noteCrash(released.state, 'i-4', ['a']), 'i-5', ['a']);
    expect(listQuarantinedRequests(twice)).toEqual([]);
    expect(listQuarantinedRequests(noteCrash(twice, 'i-6', ['a']))).toEqual(['a']);
  });

  it('are stored in snapshots', () => {
    const state = noteThreeCrashes('a');
    expect(decodeSnapshot(encodeSnapshot(state)).routing).toEqual(state.routing);
  });
});

/** Guards against a subject that was in flight by coincidence and stays quarantined, and against trials that crash upstreams without end. */
describe('trials of quarantined subjects', () => {
  const segment = formatSegmentSubject('desk', 'a');
  const [firstDelay = 0, secondDelay = 0] = trialDelays.segment;

  function askForTrial(
    state: ControlState,
    token: string,
    at: number,
    request = segment,
  ): ControlState {
    return noteCrashes(state, { at, trials: [{ request, token }] });
  }

  function listTokens({ routing }: ControlState, subject = segment): readonly string[] {
    return (routing.suspects.get(subject)?.trials ?? []).map(({ token }) => token);
  }

  it('are granted one at a time, after the delay, and the same one once', () => {
    const quarantined = noteThreeCrashes(segment, 1000);
    const early = askForTrial(quarantined, 'early', 1000 + firstDelay - 1);
    expect(listTokens(early)).toEqual([]);
    const granted = askForTrial(early, 'first', 1000 + firstDelay);
    const again = askForTrial(askForTrial(granted, 'first', 1001 + firstDelay), 'other', 2e4);
    expect(listTokens(again)).toEqual(['first']);
    expect(decodeSnapshot(encodeSnapshot(again)).routing).toEqual(again.routing);
  });

  it('end for good when all of them have crashed upstreams', () => {
    let state = noteThreeCrashes(segment, 0);
    for (let round = 1; round <= 20; round += 1) {
      const at = round * (secondDelay + 1);
      state = askForTrial(state, `trial-${round}`, at);
      state = noteCrash(
        state,
        `i-${10 + round}`,
        listTokens(state).length === round ? [segment] : [],
        at,
      );
    }
    expect(listTokens(state)).toHaveLength(trialDelays.segment.length);
    expect(listQuarantinedRequests(state)).toEqual([segment]);
  });

  // Guards against a request that crashes yet another upstream when its caller repeats it a few seconds later.
  it('are granted to a whole request only once, and minutes after its last crash', () => {
    const quarantined = noteThreeCrashes('a', 1000);
    const early = askForTrial(quarantined, 'early', 1000 + 4 * 60 * 1000, 'a');
    expect(listTokens(early, 'a')).toEqual([]);
    const granted = askForTrial(early, 'first', 1000 + 5 * 60 * 1000, 'a');
    expect(listTokens(granted, 'a')).toEqual(['first']);
    const again = askForTrial(granted, 'second', 24 * 60 * 60 * 1000, 'a');
    expect(listTokens(again, 'a')).toEqual(['first']);
  });

  it('are not granted to subjects that are not quarantined', () => {
    const twice = noteCrash(noteCrash(initialControlState, 'i-1', [segment]), 'i-2', [segment]);
    expect(listTokens(askForTrial(twice, 'first', 1e6))).toEqual([]);
  });
});
