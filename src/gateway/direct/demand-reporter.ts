import type { Logger } from 'pino';

import type { ManagedPart, Milliseconds } from '../../common/index.js';
import { RoutingService } from '../../generated/pistachiospoke/v1/routing_pb.js';
import type { RpcClientPool } from '../../wire/index.js';
import type { GatewayPlace } from './head-subset.js';

/** Tells the leader of control how many requests for each model want to run at one moment, and hears how many gateways there are. */

const reportInterval: Milliseconds = 500;
const reportTimeout: Milliseconds = 1000;

/** Options of the reporter. */
export interface DemandReporterOptions {
  readonly gateway: string;
  /** `ip:port` of the leader; empty while none is known. */
  readonly findLeader: () => string;
  /** Requests that want to run at one moment, by model; ends the interval that it measures. */
  readonly measure: () => ReadonlyMap<string, number>;
  /** Told where this gateway stands among those that have reported lately. */
  readonly onPlace: (place: GatewayPlace) => void;
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
    const { gateway, findLeader, measure, onPlace, clients, logger } = this.#options;
    const leader = findLeader();
    const requests = Object.fromEntries(measure());
    if (leader === '') {
      return;
    }
    try {
      const client = clients.client(RoutingService, leader);
      const { gateways, position } = await client.reportDemand(
        { gateway, requests },
        { timeoutMs: reportTimeout },
      );
      onPlace({ gateways, position });
    } catch (error) {
      logger.debug({ leader, error: String(error) }, 'demand not reported');
    }
  }
}
