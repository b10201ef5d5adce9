import { describe, expect, it } from 'vitest';

import { HostDirectory, type HostReport } from '../../src/control/index.js';

const firstStart = 'first-start';

function createReport(sequence: number, change: Partial<HostReport> = {}): HostReport {
  return {
    host: 'host-1',
    incarnation: firstStart,
    facts: undefined,
    configurationRevision: 1,
    groups: [],
    isDraining: false,
    isLeaving: false,
    sequence,
    factsSequence: 1,
    ...change,
  };
}

function createFacts(isHealthy: boolean, incarnation = firstStart): HostReport['facts'] {
  return {
    host: 'host-1',
    incarnation,
    address: '10.0.0.1:8600',
    region: 'addis',
    failureDomain: 'bole',
    fabricDomain: 'bole-1',
    accelerators: 8,
    labels: {},
    upstream: undefined,
    isHealthy,
    isDraining: false,
  };
}

describe('host directory', () => {
  // Guards against a healthy host that stays unhealthy in control, so that its group is not placed again. A host that resumes after a
  // freeze reports itself unhealthy to one control host and then, on a new connection, healthy to another; the forwarded batch of the
  // first arrives last. The last received report used to win, and heartbeats carry no facts that would correct it.
  it('ignores a report that another control host passes on late', () => {
    const directory = new HostDirectory();
    directory.record(createReport(7, { facts: createFacts(true), factsSequence: 7 }), 10);
    const late = createReport(6, { facts: createFacts(false), factsSequence: 6 });
    expect(directory.record(late, 20)).toBe('old');
    expect(directory.record(createReport(8, { factsSequence: 7 }), 30)).toBe('taken');
    expect(directory.read().get('host-1')).toMatchObject({ facts: { isHealthy: true } });
  });

  // Guards against the same failure when the batch with changed facts is lost and later heartbeats arrive. A heartbeat was taken as
  // unchanged since whatever facts were known here.
  it('asks for facts that a heartbeat builds on and that never came', () => {
    const directory = new HostDirectory();
    directory.record(createReport(1, { facts: createFacts(true) }), 10);
    expect(directory.record(createReport(3, { factsSequence: 2 }), 20)).toBe('factsMissing');
  });

  // Guards against a restarted host that reverts to its previous incarnation, so that groups are placed for a process that no longer
  // exists. A report of the previous incarnation arrives by another path after the first one of the new incarnation, and the last
  // received report used to win.
  it('ignores the former start of a host that restarted, and of one that left', () => {
    const directory = new HostDirectory();
    directory.record(createReport(90, { facts: createFacts(true), factsSequence: 90 }), 10);
    const later = createReport(1, { incarnation: 'later', facts: createFacts(true, 'later') });
    expect(directory.record(later, 20)).toBe('taken');
    expect(directory.record(createReport(91, { facts: createFacts(true) }), 30)).toBe('old');
    const leaving = createReport(2, { incarnation: 'later', isLeaving: true });
    expect(directory.record(leaving, 40)).toBe('taken');
    expect(directory.record({ ...later, sequence: 2 }, 50)).toBe('old');
    expect(directory.read().size).toBe(0);
  });
});
