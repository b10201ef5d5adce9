/** A control host's watches and reports, from the very code that `pistachiospoke-control` runs, without its log. */
import { createLogger, systemClock } from '../../src/common/index.js';
import { HostDirectory } from '../../src/control/index.js';
import { ReportService } from '../../src/control/shell/report-service.js';
import { WatchHub } from '../../src/control/watch-hub.js';
import { WatcherDirectory } from '../../src/control/watcher-directory.js';
import {
  ControlService,
  type WatchRequest,
  type WatchResponse,
} from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer, RpcClientPool } from '../../src/wire/index.js';
import { announceReady } from '../support/index.js';
import { createPublishedState } from './fixtures.js';

const heartbeatMilliseconds = 1000;

/** Serves watches and reports at an address; `publish` brings the next revision of the configuration. */
export async function runControlRole(address: string): Promise<void> {
  const hub = new WatchHub(createPublishedState(1));
  const reports = createReportService();
  const server = createRpcServer({
    address,
    routes: (router) => {
      router.service(ControlService, {
        watch: (request, context) => streamWatch(hub, request, context.signal),
        report: async (messages) => {
          await reports.takeStream(messages);
          return {};
        },
      });
    },
  });
  await server.open();
  setInterval(() => {
    hub.sendHeartbeat(true);
  }, heartbeatMilliseconds);
  let state = createPublishedState(1);
  announceReady(address, (question) => {
    if (question === 'publish') {
      const revision = state.revision + 1;
      state = { ...state, index: revision, revision };
      hub.publish(state);
      return String(revision);
    }
    return String(hub.listWatchers('gateway').length);
  });
}

function createReportService(): ReportService {
  return new ReportService({
    name: 'control-1',
    peers: () => [],
    directory: new HostDirectory(),
    watchers: new WatcherDirectory(),
    clients: new RpcClientPool(),
    clock: systemClock,
    logger: createLogger('bench', 'error'),
    onReport: () => undefined,
  });
}

async function* streamWatch(
  hub: WatchHub,
  request: WatchRequest,
  signal: AbortSignal,
): AsyncGenerator<WatchResponse> {
  const queue = hub.subscribe({
    name: request.watcher,
    kind: request.kind,
    revision: Number(request.configurationRevision),
  });
  signal.addEventListener('abort', () => {
    hub.unsubscribe(queue);
  });
  yield* queue;
}
