import { StatsD } from 'hot-shots';
import { describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../src/common/index.js';

vi.mock('hot-shots', { spy: true });

describe('metrics', () => {
  /*
   * Symptom: a gateway or control host without `metrics` in its settings grows by megabytes an hour.
   * Sequence: it serves; every request counts a few metrics that go nowhere.
   * Cause: the client's mock mode keeps all it is given, for tests to read.
   */
  it('make no client where there is nowhere to send to', async () => {
    const metrics = createMetrics(undefined, {});
    metrics.increment('gateway.requests');
    await metrics.close();
    expect(StatsD).not.toHaveBeenCalled();
  });

  it('are sent to the target of the settings', async () => {
    const metrics = createMetrics({ host: '127.0.0.1', port: 9 }, { gateway: 'gateway-1' });
    metrics.increment('gateway.requests');
    await metrics.close();
    expect(StatsD).toHaveBeenCalledTimes(1);
  });
});
