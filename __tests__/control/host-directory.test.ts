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
  // Symptom: a healthy host stays unhealthy in control for good and its group is not placed again.
  // Sequence: a host comes back from a freeze, reports itself unhealthy to one control host and, on a new connection,
  // healthy to another; the first one's batch arrives last. Cause: the last report heard counted, and heartbeats carry no facts.
  it('ignores a report that another control host passes on late', () => {
    const directory = new HostDirectory();
    directory.take(createReport(7, { facts: createFacts(true), factsSequence: 7 }), 10);
    const late = createReport(6, { facts: createFacts(false), factsSequence: 6 });
    expect(directory.take(late, 20)).toBe('old');
    expect(directory.take(createReport(8, { factsSequence: 7 }), 30)).toBe('taken');
    expect(directory.read().get('host-1')).toMatchObject({ facts: { isHealthy: true } });
  });

  // Symptom: as above. Sequence: the batch that carried changed facts is lost, the heartbeats after it arrive.
  // Cause: a heartbeat was taken as 'nothing changed since the facts known here' whatever facts those were.
  it('asks for facts that a heartbeat builds on and that never came', () => {
    const directory = new HostDirectory();
    directory.take(createReport(1, { facts: createFacts(true) }), 10);
    expect(directory.take(createReport(3, { factsSequence: 2 }), 20)).toBe('factsMissing');
  });

  // Symptom: a restarted host flips back to its former start, and its groups are placed for a process that is gone.
  // Sequence: a report of the former start comes by another way after the first one of the new start. Cause: as above.
  it('ignores the former start of a host that restarted, and of one that left', () => {
    const directory = new HostDirectory();
    directory.take(createReport(90, { facts: createFacts(true), factsSequence: 90 }), 10);
    const later = createReport(1, { incarnation: 'later', facts: createFacts(true, 'later') });
    expect(directory.take(later, 20)).toBe('taken');
    expect(directory.take(createReport(91, { facts: createFacts(true) }), 30)).toBe('old');
    const leaving = createReport(2, { incarnation: 'later', isLeaving: true });
    expect(directory.take(leaving, 40)).toBe('taken');
    expect(directory.take({ ...later, sequence: 2 }, 50)).toBe('old');
    expect(directory.read().size).toBe(0);
  });
});
