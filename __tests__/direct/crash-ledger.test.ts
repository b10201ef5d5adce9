import { describe, expect, it } from 'vitest';

import { CrashLedger } from '../../src/gateway/direct/index.js';

/** Longer than the delay before a quarantine is enforced. */
const afterQuarantineDelay = 1000;

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
    });
    expect(ledger.takePending()).toBeUndefined();
  });

  it('are reported again when control may not have recorded them', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['a'], 0);
    const pending = ledger.takePending();
    ledger.noteCrash('i-1', ['b'], 5);
    ledger.noteAnswered('b', 6);
    ledger.restorePending(pending ?? { crashes: [], answered: [] });
    expect(ledger.takePending()).toEqual({
      crashes: [{ upstream: 'i-1', requests: ['a', 'b'] }],
      answered: ['b'],
    });
  });
});

describe('complete answers', () => {
  it('are reported only for requests that were in flight at a crash', () => {
    const ledger = new CrashLedger();
    ledger.noteAnswered('other', 0);
    ledger.noteCrash('i-1', ['a'], 0);
    ledger.takePending();
    ledger.noteAnswered('a', 10);
    ledger.noteAnswered('a', 20);
    expect(ledger.takePending()).toEqual({ crashes: [], answered: ['a'] });
  });

  it('keep a recently answered request from being suspected', () => {
    const ledger = new CrashLedger();
    ledger.noteAnswered('a', 0);
    ledger.noteCrash('i-1', ['a'], 1000);
    expect(ledger.takePending()).toBeUndefined();
    ledger.noteCrash('i-2', ['a'], 120_000);
    expect(ledger.takePending()?.crashes).toEqual([{ upstream: 'i-2', requests: ['a'] }]);
  });

  it('are reported when the request is quarantined, and keep it from being rejected', () => {
    const ledger = new CrashLedger();
    ledger.noteAnswered('a', 0);
    ledger.setQuarantined(new Set(['a', 'b']), 1000);
    expect(ledger.takePending()).toEqual({ crashes: [], answered: ['a'] });
    const now = 1000 + afterQuarantineDelay;
    expect([ledger.assess('a', now), ledger.assess('b', now)]).toEqual(['harmless', 'quarantined']);
  });
});

describe('a quarantine', () => {
  it('is enforced after a delay, and until control ends it', () => {
    const ledger = new CrashLedger();
    ledger.setQuarantined(new Set(['a']), 0);
    expect(ledger.assess('a', 10)).toBe('harmless');
    // A further state change must not restart the delay.
    ledger.setQuarantined(new Set(['a', 'b']), 300);
    expect(ledger.assess('a', afterQuarantineDelay)).toBe('quarantined');
    ledger.setQuarantined(new Set(['b']), afterQuarantineDelay);
    expect(ledger.assess('a', 2 * afterQuarantineDelay)).toBe('harmless');
  });
});

// Guards against sending a request that crashes upstreams again before control knows of the crash, without end while control is not heard.
describe('a request that was in flight at a crash', () => {
  const none = { crashes: [], answered: [] };

  it('is held back until control has recorded the crash', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['a', 'b'], 0);
    const pending = ledger.takePending() ?? none;
    expect(ledger.assess('a', 10)).toBe('unrecorded');
    ledger.restorePending(pending);
    expect(ledger.assess('a', 60_000)).toBe('unrecorded');
    const again = ledger.takePending() ?? none;
    ledger.noteCrash('i-2', ['b'], 60_010);
    ledger.noteRecorded(again);
    expect([ledger.assess('a', 60_020), ledger.assess('b', 60_020)]).toEqual([
      'harmless',
      'unrecorded',
    ]);
    ledger.noteRecorded(ledger.takePending() ?? none);
    expect([ledger.assess('b', 60_030), ledger.hasSuspicions]).toEqual(['harmless', false]);
  });

  it('is not held back once an upstream has answered it completely', () => {
    const ledger = new CrashLedger();
    ledger.noteCrash('i-1', ['a'], 0);
    ledger.noteAnswered('a', 10);
    expect([ledger.assess('a', 20), ledger.hasSuspicions]).toEqual(['harmless', false]);
  });

  it('is not held back for a crash whose report was dropped', () => {
    const ledger = new CrashLedger();
    for (let upstream = 0; upstream <= 500; upstream += 1) {
      ledger.noteCrash(`i-${upstream}`, [`request-${upstream}`], 0);
    }
    expect(ledger.assess('request-0', 10)).toBe('harmless');
    expect(ledger.assess('request-1', 10)).toBe('unrecorded');
  });
});
