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
   * Symptom: the leader of control takes a tenth of its core with nothing going on. Every report of a group that serves says another load,
   * and each made it plan anew.
   */
  it('change nothing when they say another load only', () => {
    const directory = new EngineDirectory();
    expect(directory.take(createReport(1), 0)).toBe('changed');
    expect(directory.take(createReport(2, { running: 17, waiting: 3 }), 500)).toBe('unchanged');
    expect(directory.describe(500).get('h1')?.facts.reading?.running).toBe(17);
    expect(directory.take(createReport(3, { slowdown: 4 }), 1000)).toBe('changed');
  });

  it('are late when a newer one of the same life came before', () => {
    const directory = new EngineDirectory();
    directory.take(createReport(2), 0);
    expect(directory.take(createReport(1, { slowdown: 4 }), 100)).toBe('late');
  });
});
