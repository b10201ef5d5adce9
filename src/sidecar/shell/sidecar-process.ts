import type { Logger } from 'pino';

import {
  createIdentifier,
  createMetrics,
  InboundMemory,
  type Blackboard,
  type Clock,
  type ManagedPart,
  type Metrics,
  type Milliseconds,
  type RandomSource,
} from '../../common/index.js';
import { defaultLongestLease } from '../../lease/index.js';
import type { Group, GroupName, HostFacts, ServiceName, WatchedState } from '../../model/index.js';
import type { SidecarSettings } from '../../settings/index.js';
import { ControlWatcher } from '../../watch/index.js';
import { createRpcServer, RpcClientPool } from '../../wire/index.js';
import { AttemptService, HttpUpstreamClient, type GroupAdmission } from '../attempts/index.js';
import { createAnnounceServer, UpstreamMonitor, type UpstreamState } from '../upstream/index.js';
import { runDrain } from './drain-runner.js';
import { GroupLeader } from './group-leader.js';
import { LeaseMemberDriver } from './lease-member-driver.js';
import { OrderRunner } from './order-runner.js';
import { ReportClient, type ReportContent } from './report-client.js';
import { createSidecarBoard, type SidecarSections, type StopState } from './sidecar-board.js';
import { SidecarMetrics } from './sidecar-metrics.js';

/** Assembles the parts of a sidecar. */

const tickInterval: Milliseconds = 100;
const metricsInterval: Milliseconds = 1000;

/** Options of a sidecar. */
export interface SidecarProcessOptions {
  readonly settings: SidecarSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

export class SidecarProcess {
  readonly #options: SidecarProcessOptions;
  readonly #incarnation = createIdentifier();
  readonly #clients = new RpcClientPool();
  readonly #monitor = new UpstreamMonitor();
  readonly #watcher: ControlWatcher;
  readonly #reportClient: ReportClient;
  readonly #member: LeaseMemberDriver;
  readonly #leader: GroupLeader;
  readonly #orders: OrderRunner;
  readonly #attempts: AttemptService;
  readonly #board: Blackboard<SidecarSections>;
  readonly #writeWatched: (state: WatchedState) => void;
  readonly #writeUpstream: (state: UpstreamState) => void;
  readonly #writeStop: (state: StopState) => void;
  readonly #metricsClient: Metrics;
  readonly #metrics: SidecarMetrics;
  #tickTimer: NodeJS.Timeout | undefined;
  #metricsTimer: NodeJS.Timeout | undefined;

  constructor(options: SidecarProcessOptions) {
    this.#options = options;
    const { settings, clock, random, logger } = options;
    const { host, control } = settings;
    const incarnation = this.#incarnation;
    this.#metricsClient = createMetrics(settings.metrics, { host });
    this.#metrics = new SidecarMetrics(this.#metricsClient);
    const shared = { host, incarnation, control, clients: this.#clients, clock, logger, random };
    this.#watcher = new ControlWatcher({ ...shared, watcher: host, kind: 'sidecar', address: '' });
    this.#board = createSidecarBoard(this.#watcher.read());
    this.#writeWatched = this.#board.own('watched');
    this.#writeUpstream = this.#board.own('upstream');
    this.#writeStop = this.#board.own('stop');
    this.#reportClient = new ReportClient({ ...shared, buildReport: () => this.#buildReport() });
    this.#member = new LeaseMemberDriver({ ...shared, longestLease: defaultLongestLease });
    const onHealthChange = () => {
      this.#updateGroupMetrics();
      this.#reportClient.notify();
    };
    this.#leader = new GroupLeader({ ...shared, member: this.#member, onHealthChange });
    this.#orders = new OrderRunner({
      ...shared,
      onOutcome: (order, outcome) => {
        this.#metrics.recordOrder(order, outcome);
      },
      onReadinessChange: (group, fencingNumber, isReady) => {
        this.#member.setReady(group, fencingNumber, isReady);
      },
    });
    this.#attempts = new AttemptService({
      ...shared,
      readGroup: (name) => this.#readAdmission(name),
      confirmWhole: (group) => this.#confirmGroup(group),
      readRevision: () => this.#board.read('watched').revision,
      noticeRevision: (revision) => {
        this.#watcher.noticeRevision(revision);
      },
      upstream: new HttpUpstreamClient(() => this.#findUpstreamUrl()),
      observe: (result) => {
        this.#metrics.recordAttempt(result);
      },
    });
  }

  /** Parts in opening order. */
  listParts(): readonly ManagedPart[] {
    const { settings, clock } = this.#options;
    const inbound = new InboundMemory(settings.inbound.memoryBytes, clock);
    const announce = createAnnounceServer(settings.announce, inbound, (announcement) => {
      this.#monitor.recordAnnouncement(announcement, clock.monotonic());
      this.#refreshUpstream();
    });
    const server = createRpcServer({
      address: settings.listen,
      inbound,
      maximumConnections: settings.inbound.connections,
      maximumCalls: settings.inbound.calls,
      routes: (router) => {
        this.#member.register(router);
        this.#attempts.register(router);
      },
    });
    return [
      { name: 'metrics', open: () => undefined, close: () => this.#metricsClient.close() },
      {
        name: 'connections',
        open: () => undefined,
        close: () => {
          this.#clients.close();
        },
      },
      {
        name: 'ticks',
        open: () => {
          this.#start();
        },
        close: () => {
          clearInterval(this.#tickTimer);
          clearInterval(this.#metricsTimer);
        },
      },
      announce,
      server,
      this.#attempts,
      this.#watcher,
      this.#reportClient,
      { name: 'drain', open: () => undefined, close: () => this.#drain() },
    ];
  }

  #start(): void {
    this.#member.start();
    this.#watcher.subscribe((state) => {
      this.#reconcile(state);
    });
    this.#tickTimer = setInterval(() => {
      this.#tick();
    }, tickInterval);
    this.#metricsTimer = setInterval(() => {
      this.#updateGroupMetrics();
    }, metricsInterval);
  }

  #updateGroupMetrics(): void {
    this.#metrics.updateGroups(this.#leader.listHealth());
  }

  #reconcile(state: WatchedState): void {
    this.#writeWatched(state);
    this.#leader.reconcile(state);
    this.#tick();
    this.#reportClient.notify();
  }

  #tick(): void {
    this.#refreshUpstream();
    const upstream = this.#board.read('upstream');
    this.#member.setHealthy(this.#isUpstreamUsable(upstream));
    const placements = this.#listPlacements();
    this.#orders.update({ placements, upstream, holder: this.#member.findHolder() });
    for (const group of placements) {
      this.#updateServiceReadiness(group, upstream);
    }
    for (const driver of this.#leader.list()) {
      driver.updateRunning(this.#attempts.countUnfinished(driver.group.name));
    }
    this.#leader.dissolveDrained();
    this.#reportClient.notify();
  }

  /** The upstream is present, reports itself healthy, and is not failing its orders. */
  #isUpstreamUsable(upstream: UpstreamState): boolean {
    return upstream.type === 'present' && upstream.isHealthy && this.#orders.isFit;
  }

  /** Placements that this host is a member of; more than one only while an older one is expiring. */
  #listPlacements(): readonly Group[] {
    const { host } = this.#options.settings;
    return [...this.#board.read('watched').groups.values()]
      .map(({ group }) => group)
      .filter((group) => group.members.some((member) => member.host === host));
  }

  /** A plain service has nothing to load, so it is ready once it is announced. An engine's readiness follows from its orders. */
  #updateServiceReadiness({ name, fencingNumber, offer }: Group, upstream: UpstreamState): void {
    if (offer.type === 'service') {
      this.#member.setReady(name, fencingNumber, offersService(upstream, offer.service));
    }
  }

  #refreshUpstream(): void {
    this.#writeUpstream(this.#monitor.read(this.#options.clock.monotonic()));
  }

  #findUpstreamUrl(): string | undefined {
    const upstream = this.#board.read('upstream');
    return upstream.type === 'absent' ? undefined : `http://${upstream.address}`;
  }

  #readAdmission(name: GroupName): GroupAdmission | undefined {
    const driver = this.#leader.find(name);
    if (driver === undefined) {
      return undefined;
    }
    return {
      group: driver.group,
      isWhole: (now) => driver.isWhole(now),
      isDraining: driver.isDraining,
      concurrency: this.#options.settings.concurrency,
    };
  }

  async #confirmGroup(group: Group): Promise<boolean> {
    const driver = this.#leader.find(group.name);
    return driver?.group.fencingNumber === group.fencingNumber && (await driver.confirm());
  }

  #buildReport(): ReportContent {
    const { settings } = this.#options;
    const upstream = this.#board.read('upstream');
    const stop = this.#board.read('stop');
    const facts: HostFacts = {
      host: settings.host,
      incarnation: this.#incarnation,
      address: settings.listen,
      region: settings.region,
      failureDomain: settings.failureDomain,
      fabricDomain: settings.fabricDomain,
      accelerators: settings.accelerators,
      labels: settings.labels,
      upstream: upstream.type === 'present' ? upstream.upstream : undefined,
      isHealthy: this.#isUpstreamUsable(upstream),
      isDraining: stop.type !== 'working',
    };
    return {
      host: settings.host,
      incarnation: this.#incarnation,
      facts,
      configurationRevision: this.#board.read('watched').revision,
      groups: this.#leader.listHealth(),
      isDraining: stop.type !== 'working',
      isLeaving: stop.type === 'leaving',
    };
  }

  /** Graceful shutdown: the groups of this host finish their running attempts, then every lease is released. */
  #drain(): Promise<void> {
    const { clock, settings, logger } = this.#options;
    const target = {
      countRunning: () => this.#attempts.owedCount,
      isHeld: () => this.#member.findHolder() !== undefined,
      refuseNewWork: () => {
        this.#writeStop({ type: 'draining' });
        this.#attempts.startDrain();
        this.#member.requestDrain();
        this.#reportClient.notify();
      },
      dissolveGroups: () => {
        this.#leader.dissolveAll();
      },
      abortAttempts: async () => {
        const aborted = await this.#attempts.drain(0);
        logger.warn({ cut: aborted }, 'attempts aborted at the hard shutdown limit');
      },
      leave: () => {
        this.#writeStop({ type: 'leaving' });
        this.#reportClient.notify();
      },
    };
    return runDrain(target, settings.shutdown.hardLimitMilliseconds, clock);
  }
}

function offersService(upstream: UpstreamState, service: ServiceName): boolean {
  if (upstream.type === 'absent' || upstream.upstream.type !== 'service') {
    return false;
  }
  return upstream.upstream.service === service;
}
