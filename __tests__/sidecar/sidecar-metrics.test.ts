import { describe, expect, it } from 'vitest';

import type { Metrics } from '../../src/common/index.js';
import type { GroupHealth } from '../../src/model/index.js';
import { SidecarMetrics } from '../../src/sidecar/shell/sidecar-metrics.js';

function createHealth(isServing: boolean, missing: readonly string[]): GroupHealth {
  return { group: 'llm/1', fencingNumber: 1, isServing, isDrained: false, missing };
}

function countLosses(looks: readonly (readonly GroupHealth[])[]): number {
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
  looks.forEach((groups) => {
    sidecar.noteGroups(groups);
  });
  return names.filter((name) => name === 'sidecar.lease_losses').length;
}

describe('metrics of a sidecar', () => {
  const forming = createHealth(false, ['host-2']);
  const serving = createHealth(true, []);

  it('count a lease lost by a group that served, once', () => {
    expect(countLosses([[forming], [serving], [forming], [forming], [serving]])).toBe(1);
  });

  it('count no loss while a group forms, loads again or is dissolved', () => {
    const loading = createHealth(false, []);
    expect(countLosses([[forming], [forming], [serving], [loading], [serving], []])).toBe(0);
  });
});
