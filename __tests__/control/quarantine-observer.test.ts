import { pino } from 'pino';
import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';

import { QuarantineObserver } from '../../src/control/routing/index.js';
import { applyCommand, initialControlState, type Command } from '../../src/control/state/index.js';
import { formatSegmentSubject } from '../../src/routing/index.js';

const subject = formatSegmentSubject('engines', '91bd3f06');

function noteCrash(upstream: string, answered: readonly string[] = []): Command {
  return { type: 'noteCrashes', at: 0, crashes: [{ upstream, requests: [subject] }], answered };
}

// Guards against a quarantine whose subject, reason and start stand in no log line and no metric.
describe('quarantines on a control host', () => {
  it('are logged with their crashes when they start, and when they end, and are counted', async () => {
    const lines: string[] = [];
    const registry = new Registry();
    let state = initialControlState;
    const observer = new QuarantineObserver({
      readState: () => state,
      logger: pino({ level: 'info' }, { write: (line: string) => lines.push(line) }),
      registry,
    });
    const apply = (command: Command): void => {
      state = applyCommand(state, command).state;
      observer.handleState(state);
    };
    const readMetrics = (): Promise<string> => registry.metrics();

    ['i-1', 'i-2'].forEach((upstream) => {
      apply(noteCrash(upstream));
    });
    expect(lines).toEqual([]);
    apply(noteCrash('i-3'));
    expect(lines).toHaveLength(1);
    expect(JSON.parse(lines[0] ?? '')).toMatchObject({
      subject,
      type: 'segment',
      segment: '91bd3f06',
      upstreams: ['i-1', 'i-2', 'i-3'],
      firstCrash: '1970-01-01T00:00:00.000Z',
    });
    expect(await readMetrics()).toContain('pistachiospoke_quarantined_subjects{type="segment"} 1');

    apply({ type: 'releaseSubject', at: 0, subject, operator: 'ann' });
    expect(JSON.parse(lines[1] ?? '')).toMatchObject({ subject, msg: 'quarantine ended' });
    expect(await readMetrics()).toContain('pistachiospoke_quarantined_subjects{type="segment"} 0');
    expect(await readMetrics()).toContain('pistachiospoke_crash_suspects 0');
  });
});
