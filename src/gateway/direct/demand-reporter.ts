import type { Logger } from 'pino';

import type { ManagedPart, Milliseconds } from '../../common/index.js';
import { RoutingService } from '../../generated/pistachiospoke/v1/routing_pb.js';
import type { RpcClientPool } from '../../wire/index.js';

/** Tells the leader of control how many requests for each model want to run at one moment. */

const sampleInterval: Milliseconds = 100;
const reportInterval: Milliseconds = 500;
const reportTimeout: Milliseconds = 1000;

/** Options of the reporter. */
export interface DemandReporterOptions {
  readonly gateway: string;
  /** `ip:port` of the leader; empty while none is known. */
  readonly findLeader: () => string;
  /** Requests under way or waiting now, by model. */
  readonly count: () => ReadonlyMap<string, number>;
  readonly clients: RpcClientPool;
  readonly logger: Logger;
}

export class DemandReporter implements ManagedPart {
  readonly name = 'demand reporter';
  readonly #options: DemandReporterOptions;
  #sums = new Map<string, number>();
  #samples = 0;
  #sampling: NodeJS.Timeout | undefined;
  #reporting: NodeJS.Timeout | undefined;

  constructor(options: DemandReporterOptions) {
    this.#options = options;
  }

  open(): void {
    this.#sampling = setInterval(() => {
      this.#sample();
    }, sampleInterval);
    this.#reporting = setInterval(() => {
      void this.#report();
    }, reportInterval);
  }

  close(): void {
    clearInterval(this.#sampling);
    clearInterval(this.#reporting);
  }

  #sample(): void {
    this.#samples += 1;
    for (const [model, count] of this.#options.count()) {
      this.#sums.set(model, (this.#sums.get(model) ?? 0) + count);
    }
  }

  async #report(): Promise<void> {
    const { gateway, findLeader, clients, logger } = this.#options;
    const leader = findLeader();
    const requests = Object.fromEntries(
      [...this.#sums].map(([model, sum]) => [model, sum / this.#samples]),
    );
    // A model that was asked for once is reported with 0 from then on, so that its demand can fall.
    this.#sums = new Map([...this.#sums.keys()].map((model) => [model, 0]));
    this.#samples = 0;
    if (leader === '' || Object.keys(requests).length === 0) {
      return;
    }
    try {
      const client = clients.client(RoutingService, leader);
      await client.reportDemand({ gateway, requests }, { timeoutMs: reportTimeout });
    } catch (error) {
      logger.debug({ leader, error: String(error) }, 'demand not reported');
    }
  }
}
