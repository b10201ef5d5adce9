import type { Logger } from 'pino';

import {
  RateLimitedLog,
  pause,
  type Clock,
  type ManagedPart,
  type Milliseconds,
  type WallTime,
} from '../../common/index.js';
import {
  formatIdentity,
  type EngineAbsence,
  type EngineGroup,
  type EngineReading,
  type InstanceIdentity,
} from '../../routing/index.js';
import type { DriverMetrics } from './driver-metrics.js';
import { EngineController, type EngineEvent } from './engine-controller.js';
import type { EngineOrder, EnginePort, EngineStatus } from './engine-port.js';

/** Polls the local engine for its status and sends the orders that the controller decides on. */

/** A terminating engine closes its connection, which triggers a poll at once. This interval covers changes that no connection shows. */
const idlePollInterval: Milliseconds = 400;
/** Without a reading of an engine that may be serving, its group can neither be used nor safely be given up. */
const unknownStatePollInterval: Milliseconds = 100;
/** While the engine changes groups it serves no requests, so every wait adds to the downtime. */
const transitionPollInterval: Milliseconds = 20;
/** Rate limit for logging failed polls: one line shows the problem, and an engine is polled up to 50 times a second. */
const failureLogLimit = { burst: 5, perSecond: 0.2 };

/** Options of the driver. */
export interface EngineDriverOptions {
  readonly host: string;
  readonly port: EnginePort;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DriverMetrics;
  /** Called after each poll, whether or not the engine answered. */
  readonly onReading: () => void;
}

interface KnownInstance {
  readonly identity: InstanceIdentity;
  readonly connection: number;
  readonly orderCount: number;
}

export class EngineDriver implements ManagedPart {
  readonly name = 'engine driver';
  readonly #options: EngineDriverOptions;
  readonly #controller: EngineController;
  readonly #closing = new AbortController();
  readonly #unreadableLog: RateLimitedLog;
  readonly #unansweredLog: RateLimitedLog;
  #instance: KnownInstance | undefined;
  #waitAbort = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: EngineDriverOptions) {
    this.#options = options;
    this.#controller = new EngineController(options.host);
    this.#unreadableLog = new RateLimitedLog(options.logger, options.clock, failureLogLimit);
    this.#unansweredLog = new RateLimitedLog(options.logger, options.clock, failureLogLimit);
    options.port.onDisconnect(() => {
      this.#waitAbort.abort();
    });
  }

  get reading(): EngineReading | undefined {
    return this.#controller.reading;
  }

  get absence(): EngineAbsence | undefined {
    return this.#controller.absence;
  }

  get lastModel(): string | undefined {
    return this.#controller.lastModel;
  }

  open(): void {
    this.#running = this.#run();
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#waitAbort.abort();
    await this.#running;
    await this.#options.port.close();
  }

  /** Sets the group placed on this host and polls the engine at once. */
  assignGroup(group: EngineGroup | undefined): void {
    this.#controller.handle({ type: 'assigned', group });
    this.#waitAbort.abort();
  }

  setStagingModel(model: string | undefined): void {
    this.#controller.handle({ type: 'stagingWanted', model });
  }

  async #run(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      this.#waitAbort = new AbortController();
      const order = this.#handle(await this.#poll());
      this.#options.onReading();
      if (order !== undefined) {
        await this.#sendOrder(order);
      } else {
        await this.#waitForNextPoll();
      }
    }
  }

  async #waitForNextPoll(): Promise<void> {
    await pause(this.#choosePollInterval(), this.#waitAbort.signal);
  }

  #choosePollInterval(): Milliseconds {
    switch (this.#controller.absence) {
      case undefined:
        return this.#controller.isChanging ? transitionPollInterval : idlePollInterval;
      case 'notAsked':
      case 'notIdentified':
      case 'unanswered':
        return unknownStatePollInterval;
      case 'silent':
      case 'unreadable':
      case 'refused':
        return idlePollInterval;
    }
  }

  #handle(event: EngineEvent): EngineOrder | undefined {
    const { reading: before, absence: previousAbsence } = this.#controller;
    const order = this.#controller.handle(event);
    const { reading: after, absence } = this.#controller;
    const { logger, metrics } = this.#options;
    const identities = { before: describeInstance(before), now: describeInstance(after) };
    if (identities.before !== identities.now) {
      metrics.recordInstanceChange(identities.now);
      logger.info({ ...identities, absence }, 'engine instance changed');
    } else if (absence !== previousAbsence) {
      logger.info(
        { before: previousAbsence, absence },
        'engine status still unavailable; reason changed',
      );
    }
    const describeMembership = (reading: EngineReading | undefined): string =>
      JSON.stringify(reading?.membership);
    if (describeMembership(before) !== describeMembership(after)) {
      logger.info({ before: before?.membership, now: after?.membership }, 'membership changed');
    }
    return order;
  }

  async #poll(): Promise<EngineEvent> {
    const { port, clock, metrics } = this.#options;
    const answer = await port.readStatus();
    switch (answer.type) {
      case 'status':
        return this.#createReadEvent(answer);
      case 'unreadable':
        metrics.recordUnreadableAnswer();
        this.#unreadableLog.info({ reason: answer.reason }, 'invalid status response from engine');
        return { type: 'unreadable', now: clock.monotonic() };
      case 'unanswered':
        this.#unansweredLog.info({ reason: answer.reason }, 'engine status request failed');
        this.#instance = undefined;
        return { type: 'unanswered', now: clock.monotonic() };
      case 'refused':
        this.#instance = undefined;
        return { type: 'refused' };
    }
  }

  async #createReadEvent(status: EngineStatus): Promise<EngineEvent> {
    const instance = await this.#identify(status);
    if (instance === undefined) {
      this.#unansweredLog.info({}, 'engine responds but its instance id could not be read');
      return { type: 'notIdentified' };
    }
    const now = this.#options.clock.monotonic();
    return { type: 'read', now, reading: { instance, ...status.state } };
  }

  /**
   * Requests the id only when the instance may have changed, because the request takes up a slot of the engine. An engine that restarted
   * under the same id is recognized by its start time, even on a connection that a proxy kept open.
   */
  async #identify(status: EngineStatus): Promise<InstanceIdentity | undefined> {
    const { connection, orderCount, startedAt } = status;
    const known = this.#instance;
    const isSame =
      known?.connection === connection &&
      orderCount >= known.orderCount &&
      startedAt === known.identity.startedAt;
    const identity = isSame ? known.identity : await this.#fetchIdentity(startedAt);
    this.#instance = identity === undefined ? undefined : { identity, connection, orderCount };
    return identity;
  }

  async #fetchIdentity(startedAt: WallTime | undefined): Promise<InstanceIdentity | undefined> {
    const id = await this.#options.port.readInstance();
    if (id === undefined) {
      return undefined;
    }
    return startedAt === undefined ? { id } : { id, startedAt };
  }

  async #sendOrder(order: EngineOrder): Promise<void> {
    const { port, clock, logger, metrics } = this.#options;
    const orderCount = this.#instance?.orderCount;
    if (orderCount === undefined) {
      return;
    }
    const startedAt = clock.monotonic();
    const outcome = await port.order(order, orderCount);
    const took = Math.round(clock.monotonic() - startedAt);
    metrics.recordOrder(order, outcome, took);
    logger.info({ order, outcome, took }, 'order sent to engine');
  }
}

function describeInstance(reading: EngineReading | undefined): string | undefined {
  return reading === undefined ? undefined : formatIdentity(reading.instance);
}
