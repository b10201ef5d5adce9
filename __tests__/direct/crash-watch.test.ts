import { describe, expect, it } from 'vitest';

import { RateLimitedLog, createLogger, systemClock } from '../../src/common/index.js';
import {
  CrashLedger,
  CrashWatch,
  probeUpstream,
  type ProbeVerdict,
} from '../../src/gateway/direct/index.js';
import { reservePort, waitFor } from '../support/index.js';
import { createTarget } from './targets.js';
import { TestUpstream } from './upstream.js';

describe('a probe of an upstream', () => {
  it('is accepted while the upstream listens, and refused once it has ended', async () => {
    const upstream = new TestUpstream();
    await upstream.open();
    const { address } = upstream;
    expect(await probeUpstream(address)).toBe('accepted');
    await upstream.close();
    expect(await probeUpstream(address)).toBe('refused');
    expect(await probeUpstream(`127.0.0.1:${await reservePort()}`)).toBe('refused');
  });
});

describe('the crash watch', () => {
  function createWatch(verdicts: ProbeVerdict[]): {
    watch: CrashWatch;
    ledger: CrashLedger;
    lines: string[];
  } {
    const lines: string[] = [];
    const logger = createLogger('test', 'silent');
    const log = new RateLimitedLog(logger, systemClock, { burst: 10, perSecond: 10 });
    log.info = (fields) => lines.push(JSON.stringify(fields));
    const probe = () => Promise.resolve(verdicts.shift() ?? 'unanswered');
    const ledger = new CrashLedger();
    return { watch: new CrashWatch({ probe, ledger, clock: systemClock, log }), ledger, lines };
  }

  // An upstream that is ending may accept one more connection; that must not hide its end.
  it('logs all requests that an upstream broke off when it ended, each once, in one line', async () => {
    const { watch, ledger, lines } = createWatch(['accepted', 'refused']);
    const target = createTarget('a');
    watch.noteBroken(target, ['first']);
    watch.noteBroken(target, ['second']);
    watch.noteBroken(target, ['first']);
    await waitFor('the log line', () => lines.length > 0);
    expect(lines).toEqual([
      '{"target":"a","upstream":"i-a","verdict":"refused","requests":["first","second"]}',
    ]);
    expect(ledger.takePending()).toEqual({
      crashes: [{ upstream: 'i-a', requests: ['first', 'second'] }],
      answered: [],
      trials: [],
      returned: [],
    });
  });

  // Guards against a crash that is hidden behind the end of a response which only its connection delimits, and that clears its cause.
  it.each([
    ['has ended', ['refused'], 'refused', ['a'], []],
    ['ends a moment later', ['accepted', 'refused'], 'accepted', ['a'], []],
    ['goes on', ['accepted', 'accepted'], 'accepted', [], ['a']],
    ['does not answer', ['unanswered', 'unanswered'], 'unanswered', [], []],
  ] as const)(
    'tells whether an upstream %s after a response that its connection delimits',
    async (_, verdicts, verdict, crashed, answered) => {
      const left: ProbeVerdict[] = [...verdicts];
      const { watch, ledger } = createWatch(left);
      ledger.noteCrash('i-0', ['a'], 0);
      ledger.takePending();
      expect(await watch.confirmEnd(createTarget('a'), ['a'])).toBe(verdict);
      await waitFor('the last probe', () => left.length === 0);
      const pending = ledger.takePending();
      expect(pending?.crashes.flatMap(({ requests }) => requests) ?? []).toEqual(crashed);
      expect(pending?.answered ?? []).toEqual(answered);
    },
  );

  it('logs no refusal for an upstream that accepts a connection after an unanswered probe', async () => {
    const { watch, ledger, lines } = createWatch(['unanswered', 'accepted']);
    watch.noteBroken(createTarget('a'), ['first']);
    await waitFor('the log line', () => lines.length > 0);
    expect(lines[0]).toContain('"verdict":"accepted"');
    expect(ledger.takePending()).toBeUndefined();
  });
});
