/** Many gateways' or sidecars' control parts in one process, each with a connection of its own as on a host of its own. */
import { createEntropySource, createLogger, systemClock } from '../../src/common/index.js';
import { ReportClient } from '../../src/sidecar/shell/report-client.js';
import { ControlWatcher } from '../../src/watch/index.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { announceReady } from '../support/index.js';
import { createHostFacts } from './fixtures.js';

const logger = createLogger('bench', 'error');
const random = createEntropySource();

/** Watches of gateways; answers how many of them have at least the revision asked for. */
export function runWatcherRole(address: string, count: number): void {
  const watchers = Array.from({ length: count }, (_, index) => {
    const watcher = new ControlWatcher({
      watcher: `gateway-${index}`,
      kind: 'gateway',
      address: `10.2.0.1:${index}`,
      control: [address],
      clients: new RpcClientPool(),
      logger,
      random,
    });
    watcher.open();
    return watcher;
  });
  announceReady('watching', (question) => {
    const revision = Number(question);
    return String(watchers.filter((watcher) => isInForce(watcher, revision)).length);
  });
}

/** Report streams of sidecars. */
export function runReporterRole(address: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const facts = createHostFacts(index);
    const reporter = new ReportClient({
      control: [address],
      clients: new RpcClientPool(),
      logger,
      clock: systemClock,
      random,
      buildReport: () => ({
        host: facts.host,
        incarnation: facts.incarnation,
        facts,
        configurationRevision: 1,
        groups: [],
        isDraining: false,
        isLeaving: false,
      }),
    });
    reporter.open();
  }
  announceReady('reporting');
}

function isInForce(watcher: ControlWatcher, revision: number): boolean {
  const state = watcher.read();
  return state.isSynchronized && state.revision >= revision;
}
