import type { Logger } from 'pino';
import { Registry } from 'prom-client';

import {
  createIdentifier,
  createMetricsPage,
  type Clock,
  type ManagedPart,
  type RandomSource,
} from '../../common/index.js';
import type { EngineFacts } from '../../routing/index.js';
import type { EngineSidecarSettings } from '../../settings/index.js';
import { RoutingWatcher, type RoutingView } from '../../watch/index.js';
import { RpcClientPool } from '../../wire/index.js';
import { DriverMetrics } from './driver-metrics.js';
import { EngineDriver } from './engine-driver.js';
import type { EnginePort } from './engine-port.js';
import { EngineReporter } from './engine-reporter.js';

/** Assembles a sidecar for an engine that keeps track of its own group membership. */

/** Options of `createEngineSidecar`. */
export interface EngineSidecarOptions {
  readonly settings: EngineSidecarSettings;
  readonly port: EnginePort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** A sidecar: its parts in opening order and a handler for changed settings. */
export interface EngineSidecar {
  readonly parts: readonly ManagedPart[];
  readonly takeSettings: (settings: EngineSidecarSettings) => void;
}

export function createEngineSidecar(options: EngineSidecarOptions): EngineSidecar {
  const { settings, port, clock, random, logger } = options;
  const { host } = settings;
  const clients = new RpcClientPool();
  const registry = new Registry();
  const control = settings.control;
  const shared = { clients, clock, logger, random };
  const watcher = new RoutingWatcher({ ...shared, watcher: host, kind: 'sidecar', control });
  const driver = new EngineDriver({
    ...shared,
    host,
    port,
    metrics: new DriverMetrics(registry),
    onReading: () => {
      reporter.notify();
    },
  });
  const readFacts = (): EngineFacts => ({
    failureDomain: settings.failureDomain,
    address: port.address,
    service: settings.service,
    ...(driver.reading === undefined ? {} : { reading: driver.reading }),
    ...(driver.absence === undefined ? {} : { absence: driver.absence }),
    ...(driver.lastModel === undefined ? {} : { lastModel: driver.lastModel }),
  });
  const reporter = new EngineReporter({
    ...shared,
    host,
    incarnation: createIdentifier(),
    findLeader: () => watcher.read().leader,
    readFacts,
    isDraining: () => findGroup(watcher.read(), host)?.phase === 'draining',
    onStagingModel: (model) => {
      driver.setStagingModel(model);
    },
  });
  watcher.subscribe((view) => {
    driver.assignGroup(findGroup(view, host));
    reporter.followLeader();
  });
  const connections: ManagedPart = {
    name: 'connections',
    open: () => undefined,
    close: () => {
      clients.close();
    },
  };
  return {
    parts: [
      connections,
      createMetricsPage(settings.metricsPage, registry),
      driver,
      watcher,
      reporter,
    ],
    takeSettings: (changed) => {
      watcher.setControl(changed.control);
    },
  };
}

function findGroup(
  view: RoutingView,
  host: string,
): ReturnType<RoutingView['engineGroups']['get']> {
  return [...view.engineGroups.values()].find(({ members }) =>
    members.some((member) => member.host === host),
  );
}
