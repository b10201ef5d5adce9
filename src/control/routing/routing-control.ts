import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { Err, Ok, type Result } from 'ts-results';
import type { Logger } from 'pino';
import type { Registry } from 'prom-client';

import {
  RateLimitedLog,
  createFailure,
  encodeOutcome,
  type Clock,
  type Failure,
  type ManagedPart,
  type Milliseconds,
} from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import { AccountShares } from '../../dispatch/index.js';
import type { EngineView } from '../../engines/index.js';
import {
  RoutingService,
  type DemandAnswerSchema,
  type DemandReport,
  type RoutingWatchRequest,
  type RoutingWatchResponse,
} from '../../generated/pistachiospoke/v1/routing_pb.js';
import {
  checkRoutingDocument,
  listColdProfiles,
  listIdentities,
  listReturned,
  type Announcement,
  type RoutingDocument,
} from '../../routing/index.js';
import {
  decodeColdReport,
  decodeUpstreamLimits,
  encodeColdAnswer,
  encodeUpstreamLimits,
  type RpcClientPool,
} from '../../wire/index.js';
import type { ForwardedCalls } from '../forwarded-calls.js';
import type { CommandSubmitter } from '../shell/command-submitter.js';
import type { CommandAnswer, ControlState, EvacuationAction } from '../state/index.js';
import { leadershipStaleness } from './cold-allocator.js';
import { CrashRecorder } from './crash-recorder.js';
import { QuarantineObserver } from './quarantine-observer.js';
import { DemandEstimator } from './demand-estimator.js';
import { EngineLoop } from './engine-loop.js';
import { EngineMetrics } from './engine-metrics.js';
import { EngineReportService } from './engine-report-service.js';
import { EvacuationControl } from './evacuation-control.js';
import { InstanceAnnouncements } from './instance-announcements.js';
import { LeaderClient } from './leader-client.js';
import { ModelOutcomes } from './model-outcomes.js';
import { PermitAllocator, type ColdRequest } from './permit-allocator.js';
import { ReadBarrier } from './read-barrier.js';
import { RoutingHub, type ControlStatus } from './routing-hub.js';

/** Routing on a control host: routing documents, instance announcements, engine groups, and watches. */

/** A control host that has not been up to date with a quorum for this long reports itself as not fresh. */
const freshnessLimit: Milliseconds = 1500;
/** Interval of status messages to watchers; also how often the leader checks for silent instances. */
const statusInterval: Milliseconds = 500;
const failedReadLogLimit = { burst: 20, perSecond: 1 };

/** Options of routing on a control host. */
export interface RoutingControlOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly submitter: CommandSubmitter;
  readonly clients: RpcClientPool;
  readonly forwarded: ForwardedCalls;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly name: string;
  readonly findAddress: (name: string) => string | undefined;
  readonly listVoters: () => readonly string[];
  readonly readState: () => ControlState;
  /** An instance that has not announced itself for this long gets no new requests. */
  readonly instanceSilence: Milliseconds;
  /** All failure domains of the deployment; undefined where operators order no evacuations. */
  readonly failureDomains: readonly string[] | undefined;
  /** Whether engines go to the models whose callers lose most. */
  readonly weighsLosses: boolean;
  /** Registry for the metrics page. */
  readonly registry: Registry;
}

export class RoutingControl implements ManagedPart {
  readonly name = 'routing';
  readonly #options: RoutingControlOptions;
  readonly #hub = new RoutingHub();
  readonly #announcements: InstanceAnnouncements;
  readonly #crashes: CrashRecorder;
  readonly #quarantines: QuarantineObserver;
  readonly #evacuations: EvacuationControl;
  readonly #demand = new DemandEstimator();
  readonly #outcomes = new ModelOutcomes();
  readonly #permits = new PermitAllocator();
  readonly #accountShares = new AccountShares();
  readonly #reports: EngineReportService;
  readonly #leaderClient: LeaderClient;
  readonly #barrier: ReadBarrier;
  readonly #engines: EngineLoop;
  readonly #failedReadLog: RateLimitedLog;
  #timer: NodeJS.Timeout | undefined;
  #leader = '';
  /** Evacuations in the last state, to see which domains return. */
  #lastEvacuations: ControlState['routing']['evacuations'] = new Map();

  constructor(options: RoutingControlOptions) {
    this.#options = options;
    this.#failedReadLog = new RateLimitedLog(options.logger, options.clock, failedReadLogLimit);
    this.#announcements = new InstanceAnnouncements({
      ...options,
      onCold: (upstream, coldFor) => {
        this.#permits.noteCold(upstream, coldFor, options.clock.monotonic());
      },
    });
    this.#crashes = new CrashRecorder(options);
    this.#quarantines = new QuarantineObserver(options);
    this.#evacuations = new EvacuationControl(options);
    this.#leaderClient = new LeaderClient(options);
    this.#barrier = new ReadBarrier({
      log: options.log,
      clock: options.clock,
      confirmAtLeader: (leader) => this.#leaderClient.confirmIndex(leader),
    });
    this.#engines = new EngineLoop({
      ...options,
      metrics: new EngineMetrics(options.registry),
      readEngines: () => this.#reports.describeEngines(),
      readDemand: () => this.#demand.estimate(options.clock.monotonic()),
      readOutcomes: options.weighsLosses
        ? () => this.#outcomes.summarize(options.clock.monotonic())
        : undefined,
      isDemandSettled: () => this.#demand.isSettled(options.clock.monotonic()),
    });
    this.#reports = new EngineReportService({
      ...options,
      onChange: () => {
        this.#engines.notify();
      },
      findStaging: (host) => this.#engines.findStaging(host),
    });
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.#hub.sendStatus(this.#describeStatus());
      this.#announcements.removeSilent();
      this.#crashes.expire();
      this.#permits.retain(listIdentities(this.#options.readState().routing));
    }, statusInterval);
    this.#engines.open();
  }

  close(): void {
    clearInterval(this.#timer);
    this.#engines.close();
    this.#hub.close();
  }

  register(router: ConnectRouter): void {
    router.service(RoutingService, {
      watch: (request) => this.#watch(request),
      reportEngine: (reports) => this.#reports.handleStream(reports),
      reportDemand: (report) => this.#handleDemandReport(report),
      reportCrashes: async (report) => {
        const result = await this.#crashes.record(report);
        const { granted, refused } = result.ok ? result.val : { granted: [], refused: [] };
        return {
          ...encodeOutcome(findFailure(result)),
          granted: [...granted],
          refused: [...refused],
        };
      },
      announce: async ({ announcement }) => {
        const result = await this.#announcements.handleForwarded(announcement);
        return encodeOutcome(findFailure(result));
      },
      confirmIndex: async () => {
        const result = await this.#options.log.confirmRead();
        return {
          ...encodeOutcome(findFailure(result)),
          index: BigInt(result.ok ? result.val : 0),
        };
      },
      read: async () => {
        const result = await this.#readLocally();
        return { ...encodeOutcome(findFailure(result)), source: result.ok ? result.val : '' };
      },
    });
  }

  /** Called after each applied command. */
  handleStateChange(state: ControlState): void {
    this.#hub.publish(state.index, state.routing);
    this.#noteReturned(state);
    this.#quarantines.handleState(state);
    this.#engines.notify();
  }

  /** Called when the leader changes: notifies watchers at once and drops what this host knew as leader. */
  handleLeadershipChange(): void {
    const status = this.#describeStatus();
    if (status.leader === this.#leader) {
      return;
    }
    this.#leader = status.leader;
    this.#announcements.clear();
    this.#reports.clear();
    this.#demand.clear();
    this.#outcomes.clear();
    this.#permits.clear();
    this.#accountShares.clear();
    this.#engines.resetLeaderState();
    this.#hub.sendStatus(status);
  }

  /** Name of the leader; undefined if there is none. */
  get leaderName(): string | undefined {
    const view = this.#options.log.view();
    switch (view.type) {
      case 'leader':
        return this.#options.name;
      case 'follower':
        return view.leader;
      case 'leaderless':
        return undefined;
    }
  }

  get isLeader(): boolean {
    return this.leaderName === this.#options.name;
  }

  /** Submits an operator's document; resolves with the active version once it is committed. */
  async put(value: unknown): Promise<Result<number, Failure>> {
    const checked = await checkRoutingDocument(value);
    if (checked.err) {
      return checked;
    }
    // What this host has applied is committed, so an operator that repeats a document needs no further entry of the log.
    const inForce = this.#options.readState().routing.document?.version ?? -1;
    return checked.val.version <= inForce ? new Ok(inForce) : this.#submitDocument(checked.val);
  }

  /** Reads the operator's source text of the active document, never a stale one; fails with `notFresh` if freshness cannot be confirmed. */
  async read(): Promise<Result<string, Failure>> {
    const { name, clock } = this.#options;
    const startedAt = clock.monotonic();
    const leader = this.leaderName;
    const result =
      leader === name ? await this.#readLocally() : await this.#leaderClient.read(leader);
    if (result.err) {
      const duration = Math.round(clock.monotonic() - startedAt);
      this.#failedReadLog.info({ leader, duration, failure: result.val }, 'read failed');
    }
    return result;
  }

  /** Handles an announcement of an instance; resolves once it is recorded, so that the instance can be told. */
  async announce(announcement: Announcement): Promise<Result<undefined, Failure>> {
    const unusable = this.#announcements.check(announcement);
    if (unusable !== undefined) {
      return new Err(unusable);
    }
    const leader = this.leaderName;
    if (leader === this.#options.name) {
      return this.#announcements.handle(announcement);
    }
    return this.#leaderClient.announce(leader, announcement);
  }

  /** Whether operators can order evacuations in this deployment. */
  get canEvacuate(): boolean {
    return this.#evacuations.isConfigured;
  }

  /** Starts or ends the evacuation of a failure domain; resolves once the order is committed, with whether it changed anything. */
  setEvacuation(
    failureDomain: string,
    action: EvacuationAction,
  ): Promise<Result<boolean, Failure>> {
    return this.#evacuations.set(failureDomain, action);
  }

  /** Engines as this host knows them; only the leader receives their reports. */
  describeEngines(): ReadonlyMap<string, EngineView> {
    return this.#reports.describeEngines();
  }

  /** Counts and logs an unusable announcement; returns the failure for its sender. */
  refuseAnnouncement(id: string, reason: string, text: string): Failure {
    return this.#announcements.refuse(id, reason, text);
  }

  #handleDemandReport(report: DemandReport): MessageInitShape<typeof DemandAnswerSchema> {
    const { gateway, requests, outcomes, limits, wanted, returned, workByAccount } = report;
    const now = this.#options.clock.monotonic();
    this.#demand.recordReport(gateway, new Map(Object.entries(requests)), now);
    this.#accountShares.record(gateway, new Map(Object.entries(workByAccount)), now);
    this.#outcomes.recordReport(new Map(Object.entries(outcomes)), now);
    const allocated = this.#permits.allocate(
      {
        gateway,
        limits: decodeUpstreamLimits(limits),
        wanted: new Map(Object.entries(wanted)),
        returned: new Map(Object.entries(returned)),
        cold: this.#readColdRequest(report),
      },
      now,
    );
    const gateways = this.#demand.countGateways(now);
    // Until all gateways have had time to report, the first one would take each account for its own.
    const shares = gateways === 0 ? [] : this.#accountShares.list(gateway, now);
    return {
      gateways,
      position: this.#demand.findPosition(gateway),
      limits: encodeUpstreamLimits(allocated.limits),
      permits: Object.fromEntries(allocated.permits),
      accountShares: Object.fromEntries(shares),
      ...(allocated.cold === undefined ? {} : { cold: encodeColdAnswer(allocated.cold) }),
    };
  }

  /** Undefined if the gateway does not ask, or another control host may lead and grant as well. */
  #readColdRequest({ cold }: DemandReport): ColdRequest | undefined {
    const { log } = this.#options;
    const view = log.view();
    const isLeading = view.type === 'leader' && log.staleness() < leadershipStaleness;
    return cold === undefined || !isLeading
      ? undefined
      : { report: decodeColdReport(cold), term: view.term };
  }

  /** Instances of a domain that is back in service come back cold. */
  #noteReturned({ routing }: ControlState): void {
    const before = { evacuations: this.#lastEvacuations };
    this.#lastEvacuations = routing.evacuations;
    const returned = listReturned(before, routing);
    if (returned.length === 0) {
      return;
    }
    const profiles = listColdProfiles(routing, routing.document);
    if (profiles.size > 0) {
      this.#options.logger.info({ upstreams: returned }, 'returned upstreams count as cold');
    }
    const now = this.#options.clock.monotonic();
    for (const upstream of returned) {
      const duration = profiles.get(upstream)?.duration;
      if (duration !== undefined) {
        this.#permits.noteReturned(upstream, duration, now);
      }
    }
  }

  async *#watch(request: RoutingWatchRequest): AsyncIterable<RoutingWatchResponse> {
    const { watcher, kind } = request;
    const { logger } = this.#options;
    const host = kind === 'sidecar' ? watcher : undefined;
    // A gateway without a state would take the first one for current, although freshness may date from before an acknowledged change.
    const isStarting = host === undefined && request.version === 0n;
    const isCurrent = !isStarting || (await this.#barrier.pass());
    const status = this.#describeStatus();
    const queue = this.#hub.subscribe(
      Number(request.version),
      { ...status, isFresh: status.isFresh && isCurrent },
      host,
    );
    logger.info({ watcher, kind, isCurrent }, 'watch opened');
    try {
      yield* queue;
    } finally {
      this.#hub.unsubscribe(queue);
      logger.info({ watcher, kind }, 'watch closed');
    }
  }

  async #submitDocument(document: RoutingDocument): Promise<Result<number, Failure>> {
    const { submitter, logger } = this.#options;
    const result = await submitter.submit({ type: 'putRouting', at: 0, document });
    const { version } = document;
    if (result.err) {
      logger.warn({ version, failure: result.val }, 'routing document rejected');
      return result;
    }
    if (result.val.type !== 'routed') {
      return new Err(createFailure('internal', `unexpected answer ${result.val.type}`));
    }
    logger.info({ version, inForce: result.val.version }, 'routing document accepted');
    return new Ok(result.val.version);
  }

  async #readLocally(): Promise<Result<string, Failure>> {
    const confirmed = await this.#options.log.confirmRead();
    if (confirmed.err) {
      return new Err(createFailure('notFresh', confirmed.val.detail));
    }
    const { document } = this.#options.readState().routing;
    return document === undefined
      ? new Err(createFailure('notFresh', 'there is no routing document yet'))
      : new Ok(document.source);
  }

  #describeStatus(): ControlStatus {
    const { log, findAddress, listVoters } = this.#options;
    const leader = this.leaderName;
    return {
      isFresh: log.staleness() < freshnessLimit,
      leader: leader === undefined ? '' : (findAddress(leader) ?? ''),
      voters: listVoters(),
    };
  }
}

function findFailure(result: Result<unknown, Failure>): Failure | undefined {
  return result.err ? result.val : undefined;
}
