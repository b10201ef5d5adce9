import { pino } from 'pino';
import { afterEach, describe, expect, it, vi } from 'vitest';

import {
  DemandReporter,
  type DemandReporterOptions,
} from '../../src/gateway/direct/demand-reporter.js';

describe('the demand report of a gateway', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against a leader that does not learn what callers lose, or in which domain the gateway is.
  it('has the outcomes by model and the failure domain of the gateway', async () => {
    vi.useFakeTimers();
    const reports: unknown[] = [];
    const reportDemand = (report: unknown) => {
      reports.push(report);
      return Promise.resolve({
        gateways: 1,
        position: 0,
        limits: [],
        permits: {},
        accountShares: {},
      });
    };
    const outcome = { inTime: 1, late: 2, refused: 3, priority: 0 };
    const reporter = new DemandReporter({
      gateway: 'one',
      failureDomain: 'a',
      findLeader: () => '10.0.0.1:1',
      measure: () => new Map([['small', 4]]),
      takeOutcomes: () => new Map([['small', outcome]]),
      takeAccountWork: () => new Map(),
      onPosition: () => undefined,
      onAccountShares: () => undefined,
      takePermitReport: () => ({
        limits: [],
        wanted: new Map(),
        returned: new Map(),
        reportedAt: 0,
      }),
      onPermits: () => undefined,
      clients: { client: () => ({ reportDemand }) },
      logger: pino({ level: 'silent' }),
    } as unknown as DemandReporterOptions);
    reporter.open();
    await vi.advanceTimersByTimeAsync(500);
    reporter.close();
    expect(reports).toMatchObject([
      { gateway: 'one', failureDomain: 'a', requests: { small: 4 }, outcomes: { small: outcome } },
    ]);
  });
});
