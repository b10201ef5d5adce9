import { describe, expect, it } from 'vitest';

import { CrashLedger } from '../../src/gateway/direct/index.js';

/** Longer than the delay before a quarantine is enforced. */
const afterQuarantineDelay = 1000;

const noDecisions = { granted: [], refused: [] };
const noReport = { crashes: [], answered: [], trials: [], returned: [] };

describe('crashes that a gateway has seen', () => {
  it('are reported once, with the requests that were in flight', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['a', 'b'], 0);
    ledger.noteCrash('i-1', ['b', 'c'], 5);
    ledger.noteCrash('i-2', ['a'], 10);
    expect(ledger.takePending()).toEqual({
      crashes: [
        { upstream: 'i-1', requests: ['a', 'b', 'c'] },
        { upstream: 'i-2', requests: ['a'] },
      ],
      answered: [],
      trials: [],
      returned: [],
    });
    expect(ledger.takePending()).toBeUndefined();
  });

  it('are reported again when control may not have recorded them', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['a'], 0);
    const pending = ledger.takePending();
    ledger.noteCrash('i-1', ['b'], 5);
    ledger.noteAnswered(['b'], 6);
    ledger.restorePending(pending ?? { crashes: [], answered: [], trials: [], returned: [] });
    expect(ledger.takePending()).toEqual({
      crashes: [{ upstream: 'i-1', requests: ['a', 'b'] }],
      answered: ['b'],
      trials: [],
      returned: [],
    });
  });
});

describe('complete answers', () => {
  it('are reported only for requests that were in flight at a crash', () => {
    const ledger = new CrashLedger();
    ledger.noteAnswered(['other'], 0);
    ledger.noteCrash('i-1', ['a'], 0);
    ledger.takePending();
    ledger.noteAnswered(['a'], 10);
    ledger.noteAnswered(['a'], 20);
    expect(ledger.takePending()).toEqual({
      crashes: [],
      answered: ['a'],
      trials: [],
      returned: [],
    });
  });

  it('keep a recently answered request from being suspected', () => {
    const ledger = new CrashLedger();
    ledger.noteAnswered(['a'], 0);
    ledger.noteCrash('i-1', ['a'], 1000);
    expect(ledger.takePending()).toBeUndefined();
    ledger.noteCrash('i-2', ['a'], 120_000);
    expect(ledger.takePending()?.crashes).toEqual([{ upstream: 'i-2', requests: ['a'] }]);
  });

  it('are reported when the request is quarantined, and keep it from being rejected', () => {
    const ledger = new CrashLedger();
    ledger.noteAnswered(['a'], 0);
    ledger.setQuarantined(new Set(['a', 'b']), 1000);
    expect(ledger.takePending()).toEqual({
      crashes: [],
      answered: ['a'],
      trials: [],
      returned: [],
    });
    const now = 1000 + afterQuarantineDelay;
    expect([ledger.assess(['a'], now), ledger.assess(['b'], now)]).toEqual([
      'harmless',
      'quarantined',
    ]);
  });
});

describe('a quarantine', () => {
  it('is enforced after a delay, and until control ends it', () => {
    const ledger = new CrashLedger();
    ledger.setQuarantined(new Set(['a']), 0);
    expect(ledger.assess(['a'], 10)).toBe('harmless');
    // A further state change must not restart the delay.
    ledger.setQuarantined(new Set(['a', 'b']), 300);
    expect(ledger.assess(['a'], afterQuarantineDelay)).toBe('quarantined');
    ledger.setQuarantined(new Set(['b']), afterQuarantineDelay);
    expect(ledger.assess(['a'], 2 * afterQuarantineDelay)).toBe('harmless');
  });
});

// Guards against sending a request that crashes upstreams again before control knows of the crash, without end while control is not heard.
describe('a request that was in flight at a crash', () => {
  it('is held back until control has recorded the crash', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['a', 'b'], 0);
    const pending = ledger.takePending() ?? noReport;
    expect(ledger.assess(['a'], 10)).toBe('unrecorded');
    ledger.restorePending(pending);
    expect(ledger.assess(['a'], 60_000)).toBe('unrecorded');
    const again = ledger.takePending() ?? noReport;
    ledger.noteCrash('i-2', ['b'], 60_010);
    ledger.noteRecorded(again, noDecisions, 60_015);
    expect([ledger.assess(['a'], 60_020), ledger.assess(['b'], 60_020)]).toEqual([
      'harmless',
      'unrecorded',
    ]);
    ledger.noteRecorded(ledger.takePending() ?? noReport, noDecisions, 60_025);
    expect([ledger.assess(['b'], 60_030), ledger.hasSuspicions]).toEqual(['harmless', false]);
  });

  it('is not held back once an upstream has answered it completely', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['a'], 0);
    ledger.noteAnswered(['a'], 10);
    expect([ledger.assess(['a'], 20), ledger.hasSuspicions]).toEqual(['harmless', false]);
  });

  it('is not held back for a crash whose report was dropped', () => {
    const ledger = new CrashLedger();
    for (let upstream = 0; upstream <= 500; upstream += 1) {
      ledger.noteCrash(`i-${upstream}`, [`request-${upstream}`], 0);
    }
    expect(ledger.assess(['request-0'], 10)).toBe('harmless');
    expect(ledger.assess(['request-1'], 10)).toBe('unrecorded');
  });
});

// Guards against requests that are sent because only one of their segments, not their content, is known to crash upstreams.
describe('a request with several subjects', () => {
  it('is assessed by the worst of them', () => {
    const ledger = new CrashLedger();
    ledger.startWith(new Set(['bad']), 0);
    ledger.noteCrash('i-1', ['seen'], 0);
    expect(ledger.assess(['new', 'bad', 'seen'], 0)).toBe('quarantined');
    expect(ledger.assess(['new', 'seen'], 0)).toBe('unrecorded');
    expect(ledger.assess(['new', 'other'], 0)).toBe('harmless');
    expect(ledger.listQuarantined(['new', 'bad', 'seen'], 0)).toEqual(['bad']);
  });

  it('clears all of them when it is answered', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['request-1', 'shared', 'bad'], 0);
    ledger.takePending();
    ledger.noteAnswered(['request-2', 'shared'], 10);
    expect(ledger.takePending()?.answered).toEqual(['shared']);
    expect(ledger.assess(['request-3', 'shared'], 20)).toBe('harmless');
    expect(ledger.assess(['request-3', 'shared', 'bad'], 20)).toBe('unrecorded');
  });

  it('reports those that recur first when there are too many', () => {
    const ledger = new CrashLedger();
    const flood = (name: string): string[] => {
      return Array.from({ length: 5000 }, (_, index) => `${name}-${index}`);
    };
    ledger.noteCrash('i-1', [...flood('first'), 'bad'], 0);
    ledger.noteCrash('i-2', [...flood('second'), 'bad'], 10);
    const reported = ledger.takePending()?.crashes[1]?.requests ?? [];
    expect(reported).toContain('bad');
    expect(reported.length).toBeLessThanOrEqual(2000);
  });
});

// Guards against a gateway that sends quarantined subjects in the first moments after its start.
describe('quarantines in force at the start of a gateway', () => {
  it('are enforced without delay', () => {
    const ledger = new CrashLedger();
    ledger.startWith(new Set(['a']), 100);
    ledger.setQuarantined(new Set(['a', 'b']), 100);
    expect(ledger.assess(['a'], 100)).toBe('quarantined');
    expect(ledger.assess(['b'], 100)).toBe('harmless');
  });
});

// Guards against more than one request for each trial that control grants, and against another one than control has chosen.
describe('a trial', () => {
  const own = 'gateway/1';

  function grantTrial(): CrashLedger {
    const ledger = new CrashLedger('gateway');
    ledger.startWith(new Set(['a', 'b']), 0);
    ledger.noteAnswered(['answered'], 0);
    expect(ledger.askForTrial(['r-1', 'answered', 'a'], 10)).toBe(own);
    expect(ledger.askForTrial(['r-2', 'a'], 20)).toBeUndefined();
    expect(ledger.askForTrial(['r-3', 'a', 'b'], 20)).toBeUndefined();
    expect(ledger.assess(['r-1', 'a'], 20, own)).toBe('unrecorded');
    expect(ledger.assess(['r-2', 'a'], 20)).toBe('quarantined');
    const pending = ledger.takePending() ?? noReport;
    expect(pending.trials).toEqual([{ token: own, subjects: ['a'], others: ['r-1'] }]);
    ledger.noteRecorded(pending, { granted: [own], refused: [] }, 30);
    return ledger;
  }

  it('lets one request through, and again if that did not run', () => {
    const ledger = grantTrial();
    expect(ledger.assess(['r-1', 'a'], 40, own)).toBe('harmless');
    expect(ledger.assess(['r-4', 'a'], 40)).toBe('quarantined');
    expect(ledger.useTrial(own, 40)).toBe(true);
    expect(ledger.assess(['r-1', 'a'], 40, own)).toBe('quarantined');
    ledger.restoreTrial(own, 45);
    expect(ledger.useTrial(own, 50)).toBe(true);
    expect(ledger.useTrial(own, 60)).toBe(false);
  });

  // Guards against quarantines that outlast all their trials, because callers left or no upstream was up when these were granted.
  it('is returned if its request ends without being sent, also before control has decided', () => {
    const unused = grantTrial();
    unused.abandonTrial(own);
    expect(unused.takePending()?.returned).toEqual([own]);
    const used = grantTrial();
    used.useTrial(own, 40);
    used.abandonTrial(own);
    expect(used.takePending()).toBeUndefined();
    const undecided = new CrashLedger('gateway');
    undecided.startWith(new Set(['a']), 0);
    undecided.askForTrial(['r-1', 'a'], 10);
    const pending = undecided.takePending() ?? noReport;
    undecided.abandonTrial(own);
    undecided.noteRecorded(pending, { granted: [own], refused: [] }, 30);
    expect(undecided.takePending()?.returned).toEqual([own]);
  });

  it('clears all subjects of its request, also those that only control suspects', () => {
    const ledger = grantTrial();
    ledger.noteAnswered(['r-1', 'a', 'suspected-elsewhere'], 40, true);
    expect(ledger.takePending()?.answered).toEqual(['r-1', 'a', 'suspected-elsewhere']);
  });

  // Guards against reports that grow without end while control cannot be reached.
  it('is asked for no longer than its request lasts', () => {
    const ledger = new CrashLedger('gateway');
    ledger.startWith(new Set(['a']), 0);
    for (let count = 0; count < 1000; count += 1) {
      const token = ledger.askForTrial([`r-${count}`, 'a'], count * 1000) ?? '';
      const pending = ledger.takePending() ?? noReport;
      ledger.abandonTrial(token);
      ledger.restorePending(pending);
      const unsent = ledger.askForTrial([`s-${count}`, 'a'], count * 1000 + 500) ?? '';
      ledger.abandonTrial(unsent);
    }
    const { trials, returned } = ledger.takePending() ?? noReport;
    expect(trials).toEqual([]);
    expect(returned).toContain('gateway/1999');
    expect(returned.length).toBeLessThanOrEqual(100);
  });

  it('is refused if control does not grant it', () => {
    const ledger = new CrashLedger('gateway');
    ledger.startWith(new Set(['a']), 0);
    const token = ledger.askForTrial(['r-1', 'a'], 10);
    const pending = ledger.takePending() ?? noReport;
    ledger.restorePending(pending);
    expect(ledger.assess(['r-1', 'a'], 20, token)).toBe('unrecorded');
    ledger.noteRecorded(ledger.takePending() ?? pending, noDecisions, 30);
    expect(ledger.assess(['r-1', 'a'], 40, token)).toBe('quarantined');
  });

  it('is void after a while, and once the quarantine has ended', () => {
    const ledger = grantTrial();
    expect(ledger.assess(['r-1', 'a'], 100_000, own)).toBe('quarantined');
    ledger.setQuarantined(new Set(), 100_010);
    ledger.setQuarantined(new Set(['a']), 100_020);
    expect(ledger.assess(['r-1', 'a'], 101_000, own)).toBe('quarantined');
  });

  // Guards against sound requests that are rejected for seconds more, because a trial is due soon after the one that was refused.
  it('is asked for again when control says, and no more often than five times a second', () => {
    const ledger = new CrashLedger('gateway');
    ledger.startWith(new Set(['a']), 0);
    const refuse = (retryAfterMilliseconds: number, now: number): void => {
      const pending = ledger.takePending() ?? noReport;
      const refused = [{ subject: 'a', retryAfterMilliseconds }];
      ledger.noteRecorded(pending, { granted: [], refused }, now);
    };
    expect(ledger.askForTrial(['a'], 10)).toBe('gateway/1');
    refuse(700, 100);
    expect(ledger.askForTrial(['a'], 790)).toBeUndefined();
    expect(ledger.askForTrial(['a'], 800)).toBe('gateway/2');
    refuse(0, 900);
    expect(ledger.askForTrial(['a'], 1090)).toBeUndefined();
    expect(ledger.askForTrial(['a'], 1100)).toBe('gateway/3');
  });
});
