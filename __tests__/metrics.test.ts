import { StatsD } from 'hot-shots';
import { describe, expect, it, vi } from 'vitest';

import { createMetrics } from '../src/common/index.js';

vi.mock('hot-shots', { spy: true });

describe('metrics', () => {
  /*
   * Guards against a memory leak: a gateway or control host without `metrics` in its settings grew by megabytes per hour,
   * because every request counts a few metrics and the client's mock mode keeps all of them for tests to read.
   */
  it('create no client without a target', async () => {
    const metrics = createMetrics(undefined, {});
    metrics.increment('gateway.requests');
    await metrics.close();
    expect(StatsD).not.toHaveBeenCalled();
  });

  it('are sent by a client if the settings name a target', async () => {
    const metrics = createMetrics({ host: '127.0.0.1', port: 9 }, { gateway: 'gateway-1' });
    metrics.increment('gateway.requests');
    await metrics.close();
    expect(StatsD).toHaveBeenCalledTimes(1);
  });
});
