import type { Logger } from 'pino';

import type { ManagedPart, Milliseconds } from '../../common/index.js';
import type { GatewayPosition, GrantedPermits, PermitReport } from '../../dispatch/index.js';
import { RoutingService, type DemandAnswer } from '../../generated/pistachiospoke/v1/routing_pb.js';
import {
  decodeColdAnswer,
  decodeUpstreamLimits,
  encodeColdReport,
  encodeUpstreamLimits,
  type RpcClientPool,
} from '../../wire/index.js';
import type { ModelOutcomeCounts } from './outcome-meter.js';

/**
 * Reports the concurrent demand for each model, how requests ended, the work by account and the known upstream rate limits to the leader of
 * control. The answer contains the number of gateways, the position of this one, its share of each account's work, and its permits for
 * rate-limited upstreams.
 */

const reportInterval: Milliseconds = 500;
const reportTimeout: Milliseconds = 1000;
/** How often it is checked whether a report is due early. */
const earlyCheckInterval: Milliseconds = 50;

/** Demand since the previous report. */
interface MeasuredDemand {
  readonly requests: ReadonlyMap<string, number>;
  readonly outcomes: ReadonlyMap<string, ModelOutcomeCounts>;
  readonly workByAccount: ReadonlyMap<string, number>;
}

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
  /** Returns the work by account since the previous call. */
  readonly takeAccountWork: () => ReadonlyMap<string, number>;
  /** Called with the share of each account's work that arises at this gateway; empty if control does not know. */
  readonly onAccountShares: (shares: ReadonlyMap<string, number>) => void;
  readonly takePermitReport: () => PermitReport;
  /** Whether permits should be requested before the next regular report; absent if that is never needed. */
  readonly isPermitReportDue?: (() => boolean) | undefined;
  readonly onPermits: (granted: GrantedPermits, reportedAt: Milliseconds) => void;
  readonly clients: RpcClientPool;
  readonly logger: Logger;
}

export class DemandReporter implements ManagedPart {
  readonly name = 'demand reporter';
  readonly #options: DemandReporterOptions;
  #reporting: NodeJS.Timeout | undefined;
  #checking: NodeJS.Timeout | undefined;

  constructor(options: DemandReporterOptions) {
    this.#options = options;
  }

  open(): void {
    this.#reporting = setInterval(() => {
      void this.#report(this.#options.measure());
    }, reportInterval);
    const { isPermitReportDue } = this.#options;
    if (isPermitReportDue !== undefined) {
      this.#checking = setInterval(() => {
        if (isPermitReportDue()) {
          // Demand is measured over whole intervals; a report without any leaves the last one in force.
          void this.#report(new Map());
        }
      }, earlyCheckInterval);
    }
  }

  close(): void {
    clearInterval(this.#reporting);
    clearInterval(this.#checking);
  }

  async #report(requests: ReadonlyMap<string, number>): Promise<void> {
    const { findLeader, takeAccountWork, takeOutcomes, takePermitReport, logger } = this.#options;
    const { onPosition, onPermits, onAccountShares } = this.#options;
    const leader = findLeader();
    // Outcomes that do not reach the leader are not sent again: only those of the last seconds matter to it.
    const demand = { requests, outcomes: takeOutcomes(), workByAccount: takeAccountWork() };
    if (leader === '') {
      return;
    }
    const report = takePermitReport();
    try {
      const answer = await this.#send(leader, demand, report);
      const { gateways, position, accountShares, ...granted } = answer;
      onPosition({ gateways, position });
      onAccountShares(new Map(Object.entries(accountShares)));
      onPermits(decodePermits(granted), report.reportedAt);
    } catch (error) {
      logger.debug({ leader, error: String(error) }, 'failed to report demand');
    }
  }

  #send(
    leader: string,
    { requests, outcomes, workByAccount }: MeasuredDemand,
    { limits, wanted, returned, cold }: PermitReport,
  ): Promise<DemandAnswer> {
    const { gateway, failureDomain, clients } = this.#options;
    return clients.client(RoutingService, leader).reportDemand(
      {
        gateway,
        failureDomain,
        requests: Object.fromEntries(requests),
        outcomes: Object.fromEntries(outcomes),
        workByAccount: Object.fromEntries(workByAccount),
        limits: encodeUpstreamLimits(limits),
        wanted: Object.fromEntries(wanted),
        returned: Object.fromEntries(returned),
        ...(cold === undefined ? {} : { cold: encodeColdReport(cold) }),
      },
      { timeoutMs: reportTimeout },
    );
  }
}

function decodePermits({
  limits,
  permits,
  cold,
}: Pick<DemandAnswer, 'limits' | 'permits' | 'cold'>): GrantedPermits {
  return {
    limits: decodeUpstreamLimits(limits),
    permits: new Map(Object.entries(permits)),
    cold: cold === undefined ? undefined : decodeColdAnswer(cold),
  };
}
