import { describe, expect, it } from 'vitest';

import type { Metrics } from '../../src/common/index.js';
import type { GroupHealth } from '../../src/model/index.js';
import { SidecarMetrics } from '../../src/sidecar/shell/sidecar-metrics.js';

function createHealth(isServing: boolean, missing: readonly string[]): GroupHealth {
  return { group: 'llm/1', fencingNumber: 1, isServing, isDrained: false, missing };
}

function countLosses(snapshots: readonly (readonly GroupHealth[])[]): number {
  const names: string[] = [];
  const metrics: Metrics = {
    increment: (name) => {
      names.push(name);
    },
    timing: () => undefined,
    gauge: () => undefined,
    close: () => Promise.resolve(),
  };
  const sidecar = new SidecarMetrics(metrics);
  snapshots.forEach((groups) => {
    sidecar.updateGroups(groups);
  });
  return names.filter((name) => name === 'sidecar.lease_losses').length;
}

describe('sidecar metrics', () => {
  const forming = createHealth(false, ['host-2']);
  const serving = createHealth(true, []);

  it('counts the lease loss of a serving group once', () => {
    expect(countLosses([[forming], [serving], [forming], [forming], [serving]])).toBe(1);
  });

  it('counts no loss while a group forms, reloads or is dissolved', () => {
    const loading = createHealth(false, []);
    expect(countLosses([[forming], [forming], [serving], [loading], [serving], []])).toBe(0);
  });
});
