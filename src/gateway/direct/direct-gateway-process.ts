import { createServer } from 'node:http';

import type { Logger } from 'pino';
import { Registry } from 'prom-client';

import {
  closeServer,
  createMetricsPage,
  guardServer,
  openServer,
  type Clock,
  type ManagedPart,
  type RandomSource,
} from '../../common/index.js';
import type { RoutingGatewaySettings } from '../../settings/index.js';
import { RoutingWatcher } from '../../watch/index.js';
import { RpcClientPool } from '../../wire/index.js';
import { createCrashReporter } from '../crashes/index.js';
import { DemandReporter } from './demand-reporter.js';
import type { Dialect } from './dialect.js';
import { DirectGateway } from './direct-gateway.js';
import { DirectMetrics } from './direct-metrics.js';

/** Assembles a direct gateway process: one that sends requests directly to upstreams. */

/** Connections of load balancers, which ask about once a second. */
const maximumBalancerConnections = 64;

export interface DirectGatewayProcessOptions {
  readonly settings: RoutingGatewaySettings;
  readonly dialect: Dialect;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** The parts of a gateway in the order in which they open, and a function that applies changed settings. */
export interface DirectGatewayProcess {
  readonly parts: readonly ManagedPart[];
  readonly takeSettings: (settings: RoutingGatewaySettings) => void;
}

export function createDirectGatewayProcess(
  options: DirectGatewayProcessOptions,
): DirectGatewayProcess {
  const { settings, clock, random, logger } = options;
  const { name, control } = settings;
  const clients = new RpcClientPool();
  const registry = new Registry();
  const shared = { clients, clock, logger, random };
  const watcher = new RoutingWatcher({ ...shared, watcher: name, kind: 'gateway', control });
  const gateway = new DirectGateway({
    ...options,
    readView: watcher.read,
    subscribe: watcher.subscribe,
    metrics: new DirectMetrics(registry),
  });
  const demand = new DemandReporter({
    ...shared,
    gateway: name,
    failureDomain: settings.failureDomain,
    findLeader: () => watcher.read().leader,
    measure: () => gateway.measureDemand(),
    takeOutcomes: () => gateway.takeOutcomes(),
    onPosition: (position) => {
      gateway.setPosition(position);
    },
    isPermitReportDue:
      settings.coldUpstreams === undefined
        ? undefined
        : () => gateway.permits.isReportDue(clock.monotonic()),
    takeAccountWork: () => gateway.fairness.takeWork(),
    onAccountShares: (shares) => {
      gateway.fairness.applyShares(shares);
    },
    takePermitReport: () => gateway.permits.takeReport(clock.monotonic()),
    onPermits: (granted, reportedAt) => {
      gateway.permits.applyGrant(granted, reportedAt, clock.monotonic());
    },
  });
  const crashes = createCrashReporter({
    ...shared,
    gateway: name,
    ledger: gateway.crashLedger,
    findLeader: () => watcher.read().leader,
  });
  const connections: ManagedPart = {
    name: 'connections',
    open: () => undefined,
    close: () => {
      clients.close();
    },
  };
  const parts = [
    connections,
    createMetricsPage(settings.metricsPage, registry),
    createReadinessServer(settings.readiness, () => gateway.isReady),
    watcher,
    demand,
    crashes,
    gateway,
  ];
  return {
    parts,
    takeSettings: (changed) => {
      watcher.setControl(changed.control);
    },
  };
}

/** Readiness endpoint for load balancers; responds alike on every path. */
function createReadinessServer(address: string, isReady: () => boolean): ManagedPart {
  const server = createServer((_, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 }).end();
  });
  guardServer(server, maximumBalancerConnections);
  return {
    name: 'readiness',
    open: () => openServer(server, address),
    close: () => closeServer(server),
  };
}
