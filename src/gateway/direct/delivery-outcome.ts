import type { Milliseconds } from '../../common/index.js';
import type { RequestTimes } from './request-times.js';

/** How a delivery ended, for logs and metrics. */
export interface DeliveryOutcome {
  /** `whole` for a complete response, `left` if the caller disconnected, otherwise the name of a result code. */
  readonly result: string;
  readonly attempts: number;
  /** Key of the last target; undefined if the request was sent to none. */
  readonly target: string | undefined;
  readonly duration: Milliseconds;
  readonly times: RequestTimes;
  /** Time for which the last attempt ran on its upstream, excluding most of its queueing there; undefined if no data arrived. */
  readonly runDuration: Milliseconds | undefined;
}
