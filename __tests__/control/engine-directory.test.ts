import { describe, expect, it } from 'vitest';

import { EngineDirectory, type ReceivedReport } from '../../src/control/routing/index.js';
import { createEngineView } from '../engines/fixtures.js';

function createReport(sequence: number, changes: object = {}): ReceivedReport {
  const [host, { facts }] = createEngineView({ host: 'h1', lastModel: 'large', staged: 'small' });
  const { reading } = facts;
  if (reading === undefined) {
    throw new Error('an engine that answers has a reading');
  }
  const changed = { ...facts, reading: { ...reading, ...changes } };
  return { host, incarnation: 'one', sequence, facts: changed };
}

describe('reports of sidecars', () => {
  /**
   * Guards against a leader that uses a tenth of a core while idle. Every report of a serving group has a different load, and each one
   * triggered planning.
   */
  it('change nothing when they say another load only', () => {
    const directory = new EngineDirectory();
    expect(directory.update(createReport(1), 0)).toBe('changed');
    expect(directory.update(createReport(2, { running: 17, waiting: 3 }), 500)).toBe('unchanged');
    expect(directory.describe(500).get('h1')?.facts.reading?.running).toBe(17);
    expect(directory.update(createReport(3, { slowdown: 4 }), 1000)).toBe('changed');
  });

  it('are late when a newer one of the same life came before', () => {
    const directory = new EngineDirectory();
    directory.update(createReport(2), 0);
    expect(directory.update(createReport(1, { slowdown: 4 }), 100)).toBe('late');
  });
});
