import type { ConnectRouter } from '@connectrpc/connect';
import type { Logger } from 'pino';
import { Registry } from 'prom-client';

import {
  createMetrics,
  createMetricsPage,
  InboundMemory,
  type Clock,
  type ManagedPart,
  type Metrics,
  type Milliseconds,
} from '../../common/index.js';
import {
  ConsensusService,
  ControlService,
  type WatchRequest,
  type WatchResponse,
} from '../../generated/pistachiospoke/v1/control_pb.js';
import type { LeadershipView } from '../../consensus/index.js';
import {
  countWantedVoters,
  findControlAddress,
  type ControlSettings,
} from '../../settings/index.js';
import { createRpcServer, RpcClientPool } from '../../wire/index.js';
import { buildPublishedState } from '../build-published-state.js';
import { ForwardedCalls } from '../forwarded-calls.js';
import { HostDirectory } from '../host-directory.js';
import { RoutingControl } from '../routing/index.js';
import { ControlStateMachine } from '../state/index.js';
import { WatchHub, type PublishedState } from '../watch-hub.js';
import { WatcherDirectory } from '../watcher-directory.js';
import { listWatcherViews } from '../watcher-views.js';
import { CommandSubmitter } from './command-submitter.js';
import { ControlMetrics } from './control-metrics.js';
import { HostObserver } from './host-observer.js';
import { OperatorService } from './operator-service.js';
import { PlacementLoop } from './placement-loop.js';
import { ReportService } from './report-service.js';
import { createControlLog, type ControlLog } from './log.js';
import { MembershipManager } from './membership-manager.js';
import type { ViewSource } from './views.js';

/** Assembles a control host from its components. */

/** A control host that has not been up to date with a quorum for this long reports itself to its watchers as not fresh. */
const freshnessLimit: Milliseconds = 2000;

/** Options of a control host. */
export interface ControlProcessOptions {
  readonly settings: ControlSettings;
  /** Shared by all ports of the process, also those of others; by default it is made from the settings. */
  readonly inbound?: InboundMemory;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class ControlProcess {
  readonly #options: ControlProcessOptions;
  readonly #clients: RpcClientPool;
  readonly #directory = new HostDirectory();
  readonly #watchers = new WatcherDirectory();
  readonly #machine = new ControlStateMachine(() => {
    this.#metrics.recordCommit();
    this.#publishCommand();
  });
  readonly #registry = new Registry();
  readonly #metricsClient: Metrics;
  readonly #metrics: ControlMetrics;
  readonly #log: ControlLog;
  readonly #hub = new WatchHub(this.#describeState());
  #published = this.#machine.read();
  readonly #submitter: CommandSubmitter;
  readonly #operators: OperatorService;
  readonly #observer: HostObserver;
  readonly #reports: ReportService;
  readonly #placement: PlacementLoop;
  /** Routing state from operator documents, instances and engines. */
  readonly routing: RoutingControl;
  readonly #membership: MembershipManager;
  #heartbeat: NodeJS.Timeout | undefined;

  constructor(options: ControlProcessOptions) {
    this.#options = options;
    const { settings, clock, logger } = options;
    // As for the streams of the log: a peer that is silent for longer has lost its leadership, or its followers.
    const silence = settings.timeouts.electionMilliseconds;
    this.#clients = new RpcClientPool({
      connect: silence,
      pingInterval: silence,
      pingAnswer: silence,
    });
    this.#metricsClient = createMetrics(settings.metrics, { control: settings.name });
    this.#metrics = new ControlMetrics(this.#metricsClient);
    const onLeadership = (view: LeadershipView): void => {
      this.#metrics.recordLeadership(view);
      this.routing.handleLeadershipChange();
    };
    this.#log = createControlLog({ settings, machine: this.#machine, clock, logger, onLeadership });
    const forwarded = new ForwardedCalls({ clock, logger, registry: this.#registry });
    const shared = { log: this.#log, clients: this.#clients, clock, logger, forwarded };
    const findAddress = (name: string) => this.#findAddress(name);
    const readPolicy = () => this.#machine.read().configuration.policy;
    this.#observer = new HostObserver({ clock, logger, readPolicy });
    this.#submitter = new CommandSubmitter({ ...shared, findAddress });
    this.#operators = new OperatorService({
      ...shared,
      submitter: this.#submitter,
      findAddress,
      describe: () => this.#describeView(),
      setEvacuation: (failureDomain, action) => this.routing.setEvacuation(failureDomain, action),
    });
    this.#reports = new ReportService({
      ...shared,
      name: settings.name,
      peers: () => this.#listPeers(),
      directory: this.#directory,
      watchers: this.#watchers,
      listConnectedGateways: () => this.#hub.listWatchers('gateway'),
      onReport: (report, via) => {
        this.#observer.handleReport(report, via);
        this.#publish();
      },
      onVerdict: (verdict) => {
        this.#metrics.recordReport(verdict);
      },
      onClosed: (host) => {
        this.#observer.handleConnectionClosed(host);
      },
    });
    this.routing = new RoutingControl({
      ...shared,
      name: settings.name,
      weighsLosses: settings.planning.weighLosses,
      submitter: this.#submitter,
      findAddress,
      listVoters: () => this.#listVoters().map(({ address }) => address),
      readState: () => this.#machine.read(),
      instanceSilence: settings.timeouts.instanceSilenceMilliseconds,
      failureDomains: settings.evacuation?.failureDomains,
      registry: this.#registry,
    });
    this.#membership = new MembershipManager({
      ...shared,
      name: settings.name,
      voterCount: countWantedVoters(settings),
      listPeers: () => this.#listPeers(),
      findAddress,
    });
    this.#placement = new PlacementLoop({
      ...shared,
      submitter: this.#submitter,
      directory: this.#directory,
      readState: () => this.#machine.read(),
      observer: this.#observer,
      onPlacement: (isCommitted) => {
        this.#metrics.recordPlacement(isCommitted);
      },
    });
  }

  /** Components in the order in which they are opened. */
  listParts(): readonly ManagedPart[] {
    const { settings, clock } = this.#options;
    const inbound = this.#options.inbound ?? new InboundMemory(settings.inbound.memoryBytes, clock);
    const server = createRpcServer({
      address: settings.listen,
      inbound,
      maximumConnections: settings.inbound.connections,
      maximumCalls: settings.inbound.calls,
      routes: (router) => {
        this.#register(router);
      },
    });
    return [
      { name: 'metrics', open: () => undefined, close: () => this.#metricsClient.close() },
      createMetricsPage(settings.metricsPage, this.#registry),
      {
        name: 'connections',
        open: () => undefined,
        close: () => {
          this.#clients.close();
        },
      },
      this.#observer,
      this.#reports,
      // Opened before the data folder is accessed, so that a second process on this host fails here without touching the folder.
      server,
      this.#log,
      {
        name: 'leadership',
        open: () => undefined,
        close: () => this.#log.resign(),
      },
      this.#placement,
      this.#membership,
      this.routing,
      {
        name: 'watches',
        open: () => {
          this.#openWatches();
        },
        close: () => {
          this.#closeWatches();
        },
      },
      // Closed before the log, without which the calls under way would end as uncertain.
      { name: 'calls', open: () => undefined, close: server.finishCalls },
    ];
  }

  #register(router: ConnectRouter): void {
    this.routing.register(router);
    router.service(ControlService, {
      watch: (request) => this.#watch(request),
      report: (messages) => this.#reports.handleStream(messages),
      submit: (request) => this.#operators.submit(request.command),
      get: (request, context) => this.#operators.get(request, context),
      acknowledge: ({ watcher }) => {
        if (watcher !== undefined) {
          this.#reports.handleAcknowledgement(watcher);
        }
        return {};
      },
    });
    router.service(ConsensusService, {
      exchange: async (envelopes) => {
        await this.#log.handleExchange(envelopes);
        return {};
      },
      admit: (request) => this.#membership.handleAdmitRequest(request),
      forward: (request) => this.#operators.handleForwarded(request.command),
      forwardReports: (request) => ({
        missingFacts: [...this.#reports.handleForwarded(request)],
      }),
    });
  }

  async *#watch(request: WatchRequest): AsyncIterable<WatchResponse> {
    const { watcher, kind } = request;
    const revision = Number(request.configurationRevision);
    const queue = this.#hub.subscribe({ name: watcher, kind, revision });
    try {
      yield* queue;
    } finally {
      this.#hub.unsubscribe(queue);
    }
  }

  #openWatches(): void {
    const { watchHeartbeatMilliseconds } = this.#options.settings.timeouts;
    this.#heartbeat = setInterval(() => {
      this.#refreshWatchers();
      const count = (kind: string): number => this.#hub.listWatchers(kind).length;
      this.#metrics.recordWatchers(count('gateway'), count('sidecar'));
      this.#hub.sendHeartbeat(this.#log.staleness() < freshnessLimit);
    }, watchHeartbeatMilliseconds);
  }

  #closeWatches(): void {
    clearInterval(this.#heartbeat);
    this.#hub.close();
  }

  /** Most commands are claims, which watchers do not see; describing all groups for each of them would cost more than applying it. */
  #publishCommand(): void {
    const { index, revision, groups } = this.#machine.read();
    this.routing.handleStateChange(this.#machine.read());
    if (this.#published.revision === revision && this.#published.groups === groups) {
      this.#hub.advanceIndex(index);
      return;
    }
    this.#publish();
  }

  #publish(): void {
    this.#published = this.#machine.read();
    this.#hub.publish(this.#describeState());
  }

  #describeState(): PublishedState {
    return buildPublishedState(this.#machine.read(), this.#directory);
  }

  #describeView(): ViewSource {
    const { settings, clock } = this.#options;
    return {
      name: settings.name,
      state: this.#machine.read(),
      directory: this.#directory,
      watchers: listWatcherViews(this.#watchers, this.#directory, clock.monotonic()),
      leadership: this.#log.view(),
      staleness: this.#log.staleness(),
      voters: this.#listVoters(),
      now: clock.monotonic(),
      wallNow: clock.wall(),
      engines: this.routing.describeEngines(),
      evacuationLimit: settings.evacuation?.limitMilliseconds ?? 0,
      isPresent: ({ facts }) => this.#observer.isHeard(facts.host),
    };
  }

  /** Marks gateways with an open watch as seen now. The entry of a gateway whose watch has ended ages. */
  #refreshWatchers(): void {
    const { settings, clock } = this.#options;
    for (const name of this.#hub.listWatchers('gateway')) {
      this.#watchers.refresh(name, settings.name, clock.monotonic());
    }
  }

  /** Voters of the log, or those of the settings until the first start has formed a membership. */
  #listVoters(): ViewSource['voters'] {
    const voters = this.#log.status?.membership.voters ?? [];
    if (voters.length === 0) {
      return this.#options.settings.voters;
    }
    return voters.map(({ name }) => ({ name, address: this.#findAddress(name) ?? 'unknown' }));
  }

  #findAddress(name: string): string | undefined {
    return findControlAddress(this.#options.settings, name);
  }

  #listPeers(): readonly string[] {
    const { voters, name } = this.#options.settings;
    return voters.filter((voter) => voter.name !== name).map((voter) => voter.address);
  }
}
