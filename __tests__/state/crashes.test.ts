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

  // Guards against a crashing request that is sent again after an upgrade of control.
  it('are quarantined when a snapshot of an earlier version says only how often they crashed', () => {
    const { routing, ...state } = noteThreeCrashes('a', 1000);
    const twice = { request: 'b', upstreams: ['i-1', 'i-2'], changedAt: 1000 };
    const thrice = { request: 'a', upstreams: ['i-1', 'i-2', 'i-3'], changedAt: 1000 };
    const suspects = new Map([twice, thrice].map((suspect) => [suspect.request, suspect]));
    const restored = decodeSnapshot(
      encodeSnapshot({ ...state, routing: { ...routing, suspects } }),
    );
    expect(listQuarantinedRequests(restored)).toEqual(['a']);
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
  /** Time by which a request that is less suitable than others may have to wait. */
  const longestSelection = 2000;

  function askForTrial(
    state: ControlState,
    token: string,
    at: number,
    request = segment,
  ): ControlState {
    return noteCrashes(state, { at, trials: [{ token, subjects: [request] }] });
  }

  function listTokens({ routing }: ControlState, subject = segment): readonly string[] {
    return (routing.suspects.get(subject)?.trials ?? []).map(({ token }) => token);
  }

  it('are granted one at a time, after the delay, and the same one once', () => {
    const quarantined = noteThreeCrashes(segment, 1000);
    const early = askForTrial(quarantined, 'early', 1000 + firstDelay - 1);
    expect(listTokens(early)).toEqual([]);
    const granted = askForTrial(early, 'first', 1000 + firstDelay);
    const repeated = askForTrial(granted, 'first', 1001 + firstDelay);
    const again = askForTrial(repeated, 'other', 1000 + firstDelay + secondDelay - 1);
    expect(listTokens(again)).toEqual(['first']);
    expect(decodeSnapshot(encodeSnapshot(again)).routing).toEqual(again.routing);
  });

  it('end for good when all of them have crashed upstreams', () => {
    let state = noteThreeCrashes(segment, 0);
    for (let round = 1; round <= 20; round += 1) {
      const at = round * (Math.max(...trialDelays.segment) + 1);
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

  // Guards against trials with requests that hold a guilty segment beside the quarantined one, and leave the latter quarantined.
  it('are granted earlier to requests whose other segments were in flight at fewer of the crashes', () => {
    const sound = formatSegmentSubject('desk', 'sound');
    const guilty = formatSegmentSubject('desk', 'guilty');
    const crashes = [
      { upstream: 'i-1', requests: [segment, guilty] },
      { upstream: 'i-2', requests: [segment, guilty, sound] },
      { upstream: 'i-3', requests: [segment] },
    ];
    const quarantined = noteCrashes(initialControlState, { at: 1000, crashes });
    const ask = (other: string, at: number): readonly string[] => {
      const trial = { token: 'token', subjects: [segment], others: [other] };
      return listTokens(noteCrashes(quarantined, { at, trials: [trial] }));
    };
    const [soundAt, guiltyAt] = [sound, guilty].map((other) => {
      const times = Array.from({ length: 4000 }, (_, index) => 1000 + index);
      return times.find((at) => ask(other, at).length > 0) ?? Number.POSITIVE_INFINITY;
    });
    expect(soundAt).toBeLessThan(guiltyAt ?? 0);
    expect(guiltyAt).toBeLessThanOrEqual(1000 + firstDelay + longestSelection);
  });

  // Guards against an innocent segment that stays quarantined for long because a guilty one came with its trial.
  it('are granted again soon if their crash leaves open which subject is guilty, and not without end', () => {
    const guilty = formatSegmentSubject('desk', 'guilty');
    let state = noteCrash(noteThreeCrashes(segment, 0), 'i-4', [segment, guilty], 0);
    const grantedAt: number[] = [];
    for (let at = 0; at < 1e6; at += 100) {
      const trial = { token: `at-${at}`, subjects: [segment], others: [guilty] };
      const granted = noteCrashes(state, { at, trials: [trial] });
      const isGranted = listTokens(granted).length > listTokens(state).length;
      state = isGranted ? noteCrash(granted, `trial-${at}`, [segment], at) : granted;
      grantedAt.push(...(isGranted ? [at] : []));
    }
    const late = grantedAt.filter((at) => at >= 3000);
    expect(grantedAt.length).toBeGreaterThan(trialDelays.segment.length);
    expect(late.length).toBeLessThanOrEqual(trialDelays.segment.length);
  });

  it('are granted again if no request has used them', () => {
    const granted = askForTrial(noteThreeCrashes(segment, 0), 'first', firstDelay);
    const returned = noteCrashes(granted, { at: 2 * firstDelay, returned: ['first'] });
    let state = askForTrial(returned, 'second', 2 * firstDelay);
    expect(listTokens(state)).toEqual(['first', 'second']);
    for (let round = 1; round <= 20; round += 1) {
      const at = (2 + round) * firstDelay;
      state = noteCrashes(state, { at, returned: listTokens(state) });
      state = askForTrial(state, `round-${round}`, at);
      expect(listTokens(state)).toContain(`round-${round}`);
    }
    expect(listTokens(state)).toHaveLength(2);
  });

  it('are granted to a request with several quarantined subjects once that is due for each of them', () => {
    const other = formatSegmentSubject('desk', 'b');
    const both = noteCrash(noteThreeCrashes(segment, 0), 'i-4', [other], 0);
    const quarantined = ['i-5', 'i-6'].reduce(
      (state, upstream) => noteCrash(state, upstream, [other], 9000),
      both,
    );
    const ask = (at: number): ControlState => {
      const trial = { token: 'first', subjects: [segment, other] };
      return noteCrashes(quarantined, { at, trials: [trial] });
    };
    expect(listTokens(ask(9000 + firstDelay - 1))).toEqual([]);
    const granted = ask(9000 + firstDelay + longestSelection);
    expect([listTokens(granted), listTokens(granted, other)]).toEqual([['first'], ['first']]);
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
