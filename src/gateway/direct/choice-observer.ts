import type { RateLimitedLog } from '../../common/index.js';
import type { ChoiceObserver } from '../../dispatch/index.js';
import type { DirectMetrics } from './direct-metrics.js';

/** Creates the logs and metrics of the choice of an upstream. */
export function createChoiceObserver(metrics: DirectMetrics, log: RateLimitedLog): ChoiceObserver {
  return {
    noteOtherDomain: ({ service }) => {
      metrics.noteOtherDomain(service);
    },
    noteFirstEvent: ({ service }, time) => {
      metrics.noteUpstreamTime(service, time);
    },
    noteSlow: ({ key: target, service }, isSlow, factor) => {
      const fields = { target, service, isSlow, factor: Number(factor.toFixed(1)) };
      log.info(fields, 'pace of upstream changed');
    },
  };
}
