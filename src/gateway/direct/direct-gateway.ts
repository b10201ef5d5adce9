import type { Logger } from 'pino';

import {
  closeServer,
  createFailure,
  createIdentifier,
  InboundMemory,
  openServer,
  probeUpstream,
  RateLimitedLog,
  receiveBody,
  type Clock,
  type Failure,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
} from '../../common/index.js';
import {
  Evacuations,
  RequestPermits,
  TargetChooser,
  TargetLoads,
  UpstreamAvailability,
  type GatewayPosition,
} from '../../dispatch/index.js';
import { formatIdentity, listIdentities, parseSubject } from '../../routing/index.js';
import type { RoutingGatewaySettings } from '../../settings/index.js';
import type { RoutingView } from '../../watch/index.js';
import { CallerServer, type Exchange } from '../caller-server.js';
import { AccountFairness } from './account-fairness.js';
import { ActiveDeliveries } from './active-deliveries.js';
import { admitRequest, type Admitted } from './admission.js';
import { CallerDrain } from './caller-drain.js';
import { createChoiceObserver } from './choice-observer.js';
import { readLastEventId, type InboundRequest } from './inbound-request.js';
import { ConnectionShedder } from './connection-shedder.js';
import { findConnectionLimit } from './connection-limit.js';
import { CrashLedger } from '../crashes/index.js';
import { CrashWatch } from './crash-watch.js';
import { DemandMeter } from './demand-meter.js';
import { Delivery } from './delivery.js';
import type { DeliveryOutcome } from './delivery-outcome.js';
import type { SharedDeliveryDependencies } from './delivery-types.js';
import type { DirectMetrics } from './direct-metrics.js';
import type { Dialect } from './dialect.js';
import { ResponseWriter } from './response-writer.js';
import { EvacuationWatch } from './evacuation-watch.js';
import { DocumentGuard } from './document-guard.js';
import { MemoryGuard, type HeldCaller } from './memory-guard.js';
import { OutcomeMeter } from './outcome-meter.js';
import { describeTimes, isInTime } from './request-times.js';
import { retryAtOnce } from './retry-after.js';
import { SharedRetryBudget } from './shared-retry-budget.js';
import { StallWatch } from './stall-watch.js';
import { StartWatch } from './start-watch.js';
import { StreamProgress } from './stream-progress.js';
import { listUpstreamAddresses, UpstreamConnections } from './upstream-connections.js';
import { UpstreamObserver } from './upstream-observer.js';
import { WaitingRequests } from './waiting-requests.js';

/** HTTP server of a gateway that sends requests directly to upstreams. */

/** Load information expires without an event, so waiting requests choose a target again at this interval. */
const waitingRetryInterval: Milliseconds = 50;
/** Enough log lines to explain any failure at normal load, and a sample under many failures, when logging must not delay callers. */
const requestLogLimit = { burst: 200, perSecond: 50 };

export interface DirectGatewayOptions {
  readonly settings: RoutingGatewaySettings;
  readonly dialect: Dialect;
  readonly readView: () => RoutingView;
  readonly subscribe: (listener: (view: RoutingView) => void) => () => void;
  readonly metrics: DirectMetrics;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

export class DirectGateway implements ManagedPart {
  readonly name = 'direct gateway';
  readonly #options: DirectGatewayOptions;
  readonly #server: CallerServer;
  readonly #drain: CallerDrain;
  readonly #connections: UpstreamConnections;
  readonly #loads = new TargetLoads();
  readonly #progress = new StreamProgress();
  readonly #crashLedger = new CrashLedger(createIdentifier());
  readonly #availability = new UpstreamAvailability();
  readonly #permits: RequestPermits;
  readonly #retryBudget: SharedRetryBudget;
  readonly #dependencies: SharedDeliveryDependencies;
  readonly #deliveries: ActiveDeliveries;
  readonly #fairness: AccountFairness;
  readonly #demand: DemandMeter;
  readonly #outcomes = new OutcomeMeter();
  readonly #log: RateLimitedLog;
  readonly #guard: DocumentGuard;
  readonly #stallWatch: StallWatch;
  readonly #shedder: ConnectionShedder;
  readonly #evacuationWatch: EvacuationWatch;
  readonly #startWatch: StartWatch;
  readonly #inbound: InboundMemory;
  /** Undefined if the memory held for callers is not limited. */
  readonly #memory: MemoryGuard | undefined;
  /** Number of gateways that share the limits on retries and connections. */
  #gateways: number;
  #position: GatewayPosition | undefined;
  #unsubscribe: (() => void) | undefined;
  #waitingRetryTimer: NodeJS.Timeout | undefined;

  constructor(options: DirectGatewayOptions) {
    this.#options = options;
    const { settings, dialect, readView, clock, random, logger } = options;
    this.#log = new RateLimitedLog(logger, clock, requestLogLimit);
    const { vouchMilliseconds } = settings.bounds;
    this.#guard = new DocumentGuard({ readView, clock, confirmationLifetime: vouchMilliseconds });
    const { repeatShare, repeatBurst, gateways } = settings.bounds;
    this.#gateways = gateways;
    this.#demand = new DemandMeter(clock.monotonic());
    this.#permits = new RequestPermits(gateways, clock.monotonic(), settings.coldUpstreams);
    this.#retryBudget = new SharedRetryBudget({ share: repeatShare, burst: repeatBurst });
    const { metrics } = options;
    this.#connections = new UpstreamConnections((address) => {
      metrics.noteUpstreamReset();
      this.#log.info({ address }, 'upstream reset a connection');
    });
    const isByUrgency = settings.admission.order === 'urgency';
    const waiting = isByUrgency ? new WaitingRequests(metrics) : undefined;
    this.#deliveries = new ActiveDeliveries({ waiting, clock });
    this.#fairness = new AccountFairness({ waiting, metrics, clock, logger });
    this.#startWatch = new StartWatch({ permits: this.#permits, clock, logger });
    const evacuations = new Evacuations(settings.evacuation?.limitMilliseconds ?? 0);
    this.#evacuationWatch = new EvacuationWatch({
      evacuations,
      withdraw: () => this.#deliveries.withdrawUnsent(),
      metrics,
      clock,
      logger,
    });
    this.#dependencies = {
      dialect,
      waiting,
      clock,
      log: this.#log,
      loads: this.#loads,
      progress: this.#progress,
      connections: this.#connections,
      crashLedger: this.#crashLedger,
      permits: this.#permits,
      observer: new UpstreamObserver({
        loads: this.#loads,
        permits: this.#permits,
        availability: this.#availability,
        evacuations,
        metrics,
        clock,
        log: this.#log,
        onCapacityChanged: () => {
          this.#deliveries.retryWaiting();
        },
        onUnavailable: () => {
          this.#deliveries.withdrawUnsent();
        },
      }),
      onSentToLimited: ({ name }) => {
        metrics.noteSentToLimited(name);
      },
      onRejectedForCrashes: (subjects) => {
        for (const type of new Set(subjects.map((key) => parseSubject(key).type))) {
          metrics.noteRejectedForCrashes(type);
        }
      },
      crashWatch: new CrashWatch({
        probe: probeUpstream,
        ledger: this.#crashLedger,
        clock,
        log: this.#log,
      }),
      chooser: new TargetChooser({
        readView,
        loads: this.#loads,
        availability: this.#availability,
        permits: this.#permits,
        evacuations,
        limitsByObjective: isByUrgency,
        readPosition: () => this.#position,
        random,
        ownDomain: settings.failureDomain,
        observer: createChoiceObserver(metrics, this.#log),
      }),
      connectionLimit: (service) => findConnectionLimit(service, this.#gateways),
      spendRetry: (service) => this.#retryBudget.spend(service),
    };
    this.#stallWatch = new StallWatch({
      progress: this.#progress,
      loads: this.#loads,
      deliveries: this.#deliveries,
      clock,
      log: this.#log,
    });
    this.#memory =
      settings.memory === undefined
        ? undefined
        : new MemoryGuard({ ...settings.memory, metrics, clock, log: this.#log });
    this.#inbound = new InboundMemory(settings.inbound.memoryBytes, clock);
    this.#server = new CallerServer(clock, settings.inbound.connections, (exchange) => {
      void this.#serve(exchange);
    });
    metrics.observeOwed(() => this.#server.countExchanges());
    this.#drain = new CallerDrain({
      server: this.#server,
      deliveries: this.#deliveries,
      grace: settings.bounds.graceMilliseconds,
      identify: ({ headers }) => dialect.readRequest(headers).requestId,
      clock,
      logger,
    });
    this.#shedder = new ConnectionShedder({
      server: this.#server,
      onShed: () => {
        metrics.noteShedConnection();
      },
      clock,
      logger,
    });
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    return !this.#drain.isStopping && this.#guard.isUsable;
  }

  /** Returns the concurrent demand by model and ends the measured interval. */
  measureDemand(): ReadonlyMap<string, number> {
    return this.#demand.measure(this.#options.clock.monotonic());
  }

  /** Returns how requests ended since the previous call, by model. */
  takeOutcomes(): ReturnType<OutcomeMeter['take']> {
    return this.#outcomes.take();
  }

  /**
   * Sets the number of gateways that share the limits and the upstreams, and the position of this one among them. With the number from the
   * settings alone, a deployment with more gateways would exceed the limits, and one with fewer would leave a part of them unused.
   */
  setPosition(ownPosition: GatewayPosition): void {
    const { gateways } = ownPosition;
    if (gateways < 1) {
      return;
    }
    this.#position = ownPosition;
    this.#retryBudget.shareWith(gateways);
    this.#permits.shareWith(gateways);
    if (gateways !== this.#gateways) {
      this.#gateways = gateways;
      this.#options.logger.info(ownPosition, 'number of gateways that share the limits changed');
    }
  }

  /** Shared with the reporter that requests permits from control. */
  get permits(): RequestPermits {
    return this.#permits;
  }

  /** Shared with the reporter that exchanges the work of accounts with control. */
  get fairness(): AccountFairness {
    return this.#fairness;
  }

  /** Shared with the reporter that forwards its contents to control. */
  get crashLedger(): CrashLedger {
    return this.#crashLedger;
  }

  /** Port that callers connect to; 0 until the gateway is open. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  async open(): Promise<void> {
    this.#guard.start();
    await openServer(this.#server, this.#options.settings.listen);
    this.#unsubscribe = this.#options.subscribe((view) => {
      this.#applyView(view);
    });
    this.#applyView(this.#options.readView());
    this.#stallWatch.open();
    this.#shedder.open();
    this.#memory?.open();
    this.#waitingRetryTimer = setInterval(() => {
      this.#deliveries.retryWaiting();
    }, waitingRetryInterval);
  }

  /** Graceful shutdown: finishes the requests of callers within the grace period. */
  async close(): Promise<void> {
    await this.#drain.run();
    this.#unsubscribe?.();
    this.#stallWatch.close();
    this.#shedder.close();
    this.#evacuationWatch.close();
    this.#memory?.close();
    clearInterval(this.#waitingRetryTimer);
    await closeServer(this.#server);
    this.#connections.close();
  }

  #applyView(view: RoutingView): void {
    this.#evacuationWatch.applyView(view);
    const instances = [...view.instances.values()].map(formatIdentity);
    const keys = new Set([...view.engineGroups.keys(), ...instances]);
    this.#loads.retain(keys);
    for (const { name, phase } of view.engineGroups.values()) {
      if (phase === 'opening') {
        this.#loads.noteReopening({ key: name });
      }
    }
    this.#progress.retain(keys);
    this.#permits.retain(listIdentities(view));
    this.#startWatch.applyView(view);
    this.#connections.retain(listUpstreamAddresses(view));
    this.#applyQuarantines(view);
    const callers = view.table?.document.callers;
    if (callers !== undefined) {
      this.#server.keepAliveTimeout = callers.idleTimeout;
      this.#server.headersTimeout = callers.headerTimeout;
    }
    this.#deliveries.noteTargetsChanged();
  }

  #applyQuarantines(view: RoutingView): void {
    const now = this.#options.clock.monotonic();
    const enforcedAt = this.#crashLedger.applyView(view, now);
    if (enforcedAt !== undefined) {
      setTimeout(() => {
        this.#deliveries.noteQuarantined();
      }, enforcedAt - now).unref();
    }
  }

  async #serve({ request, response, receivedAt }: Exchange): Promise<void> {
    const { dialect, random } = this.#options;
    const call: InboundRequest = {
      request,
      response,
      answer: new ResponseWriter(
        response,
        () => this.#server.endsConnection(response),
        () => this.#memory?.isShort === true,
      ),
      facts: dialect.readRequest(request.headers),
      startedAt: receivedAt,
    };
    if (this.#rejectLate(call)) {
      return;
    }
    await this.#guard.waitForStart();
    const admission = admitRequest({
      table: this.#guard.table,
      isConfirmed: this.#guard.isConfirmed,
      host: request.headers.host ?? '',
      path: request.url ?? '/',
      authorization: request.headers.authorization ?? '',
      timeLimit: call.facts.timeLimit,
      fraction: random.fraction(),
    });
    if (admission.type === 'refused') {
      this.#refuse(call, admission.failure);
      return;
    }
    const { maximumBodyBytes } = admission.table.document.callers;
    const held = this.#holdMemory(call);
    const body = await receiveBody(request, response, {
      memory: this.#inbound,
      maximumBytes: maximumBodyBytes,
      onReceived: (size) => {
        held.requestBytes = size;
      },
    });
    held.isReceiving = false;
    if (body.err) {
      this.#endUnread(call, body.val);
    } else if (!this.#rejectLate(call)) {
      held.delivery = this.#deliver(call, admission, body.val.bytes);
    }
  }

  /** Rejects a request for which too little of the grace period is left; the caller reaches another gateway with its next connection. */
  #rejectLate(call: InboundRequest): boolean {
    if (!this.#server.isPortClosed) {
      return false;
    }
    this.#refuse(call, createFailure('stopping', '', retryAtOnce));
    return true;
  }

  /** Ends a request whose body could not be read. */
  #endUnread(call: InboundRequest, failure: Failure): void {
    if (failure.code === 'cancelled') {
      call.answer.cut();
    } else {
      this.#refuse(call, failure);
    }
  }

  /** Counts the memory of a request until its response has been sent or its connection is closed. */
  #holdMemory({ response, answer, facts: { requestId } }: InboundRequest): HeldCaller {
    const held = { requestId, response, answer, requestBytes: 0, isReceiving: true };
    const caller: HeldCaller = { ...held, delivery: undefined };
    const memory = this.#memory;
    if (memory !== undefined) {
      memory.add(caller);
      response.on('drain', () => {
        memory.noteCaughtUp(caller);
      });
      response.on('close', () => {
        memory.remove(caller);
      });
    }
    return caller;
  }

  #refuse({ request, answer, facts: { requestId } }: InboundRequest, failure: Failure): void {
    const fields = { requestId, code: failure.code, path: request.url, ...this.#guard.describe() };
    this.#log.info(fields, 'request refused');
    this.#options.metrics.noteRefusal(failure.code);
    answer.fail(failure);
  }

  #deliver(call: InboundRequest, admission: Admitted, body: Buffer): Delivery {
    const { request, response, answer, facts, startedAt } = call;
    const { route, service, account } = admission;
    this.#retryBudget.noteRequest(service.name);
    if (facts.model !== undefined) {
      this.#demand.noteArrival(facts.model);
    }
    const delivery: Delivery = new Delivery(
      {
        requestId: facts.requestId,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        rawHeaders: request.rawHeaders,
        body,
        route,
        service,
        account,
        model: facts.model,
        tokens: facts.tokens,
        promptSegments: facts.promptSegments,
        resumeAfter: readLastEventId(call),
        startedAt,
        deadline: startedAt + Math.min(route.timeout, facts.timeLimit ?? route.timeout),
      },
      answer,
      this.#dependencies,
      (outcome) => {
        this.#noteServed(facts.model, outcome);
        this.#outcomes.noteEnded(facts.model, outcome, route, account?.priority ?? route.priority);
        this.#conclude(delivery, facts.requestId, admission, outcome);
      },
    );
    this.#deliveries.add(delivery);
    response.on('close', () => {
      delivery.noteCallerLeft();
    });
    response.on('drain', () => {
      delivery.noteDrained();
    });
    delivery.start();
    return delivery;
  }

  #noteServed(model: string | undefined, { result, runDuration }: DeliveryOutcome): void {
    if (model !== undefined && result === 'whole' && runDuration !== undefined) {
      this.#demand.noteServed(model, runDuration);
    }
  }

  #conclude(
    delivery: Delivery,
    requestId: string | undefined,
    { route, service }: Admitted,
    outcome: DeliveryOutcome,
  ): void {
    this.#options.metrics.noteOutcome(route.name, outcome);
    const { result, attempts, target, times } = outcome;
    if (result !== 'whole' || attempts > 1 || !isInTime(times, route)) {
      const names = { requestId, route: route.name, service: service.name };
      const durations = { duration: Math.round(outcome.duration), ...describeTimes(times) };
      this.#log.info(
        { ...names, result, attempts, target, ...durations, ...this.#guard.describe() },
        'request ended',
      );
    }
    this.#deliveries.remove(delivery);
  }
}
