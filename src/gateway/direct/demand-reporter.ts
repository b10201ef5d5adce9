import type { Logger } from 'pino';

import type { ManagedPart, Milliseconds } from '../../common/index.js';
import type { MessageInitShape } from '@bufbuild/protobuf';
import {
  RoutingService,
  type DemandAnswer,
  type DemandReportSchema,
} from '../../generated/pistachiospoke/v1/routing_pb.js';
import {
  decodeUpstreamLimits,
  encodeUpstreamLimits,
  type RpcClientPool,
} from '../../wire/index.js';
import type { GatewayPosition } from './head-subset.js';
import type { ModelOutcomeCounts } from './outcome-meter.js';
import type { GrantedPermits, PermitReport } from './request-permits.js';

/**
 * Reports the concurrent demand for each model, how requests ended, and the known upstream rate limits to the leader of control. The answer contains the number of
 * gateways, the position of this one, and its permits for rate-limited upstreams.
 */

const reportInterval: Milliseconds = 500;
const reportTimeout: Milliseconds = 1000;

/** Options of the reporter. */
export interface DemandReporterOptions {
  readonly gateway: string;
  readonly failureDomain: string;
  /** `ip:port` of the leader; empty while none is known. */
  readonly findLeader: () => string;
  /** Returns the concurrent demand by model and ends the measured interval. */
  readonly measure: () => ReadonlyMap<string, number>;
  /** Returns how requests ended since the previous call, by model. */
  readonly takeOutcomes: () => ReadonlyMap<string, ModelOutcomeCounts>;
  /** Called with the position of this gateway among those that have reported recently. */
  readonly onPosition: (position: GatewayPosition) => void;
  readonly takePermitReport: () => PermitReport;
  readonly onPermits: (granted: GrantedPermits, reportedAt: Milliseconds) => void;
  readonly clients: RpcClientPool;
  readonly logger: Logger;
}

export class DemandReporter implements ManagedPart {
  readonly name = 'demand reporter';
  readonly #options: DemandReporterOptions;
  #reporting: NodeJS.Timeout | undefined;

  constructor(options: DemandReporterOptions) {
    this.#options = options;
  }

  open(): void {
    this.#reporting = setInterval(() => {
      void this.#report();
    }, reportInterval);
  }

  close(): void {
    clearInterval(this.#reporting);
  }

  async #report(): Promise<void> {
    const { findLeader, measure, takeOutcomes, takePermitReport, onPosition, onPermits, logger } =
      this.#options;
    const leader = findLeader();
    const requests = Object.fromEntries(measure());
    // Outcomes that do not reach the leader are not sent again: only those of the last seconds matter to it.
    const outcomes = Object.fromEntries(takeOutcomes());
    if (leader === '') {
      return;
    }
    const report = takePermitReport();
    try {
      const { gateways, position, ...granted } = await this.#send(
        leader,
        { requests, outcomes },
        report,
      );
      onPosition({ gateways, position });
      onPermits(decodePermits(granted), report.reportedAt);
    } catch (error) {
      logger.debug({ leader, error: String(error) }, 'failed to report demand');
    }
  }

  #send(
    leader: string,
    counts: Pick<MessageInitShape<typeof DemandReportSchema>, 'requests' | 'outcomes'>,
    { limits, wanted, returned }: PermitReport,
  ): Promise<DemandAnswer> {
    const { gateway, failureDomain, clients } = this.#options;
    return clients.client(RoutingService, leader).reportDemand(
      {
        gateway,
        failureDomain,
        ...counts,
        limits: encodeUpstreamLimits(limits),
        wanted: Object.fromEntries(wanted),
        returned: Object.fromEntries(returned),
      },
      { timeoutMs: reportTimeout },
    );
  }
}

function decodePermits({
  limits,
  permits,
}: Pick<DemandAnswer, 'limits' | 'permits'>): GrantedPermits {
  return { limits: decodeUpstreamLimits(limits), permits: new Map(Object.entries(permits)) };
}
