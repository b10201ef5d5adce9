import type { Logger } from 'pino';

import {
  BoundedLog,
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

/** Asks the engine beside a sidecar how it is, and carries out what the controller decides. */

/** The connection to an engine that ends closes at once, and that wakes the driver; this is for what no connection shows. */
const restingInterval: Milliseconds = 400;
/** While nothing is known of an engine that may serve, its group can be neither used nor given up with good reason. */
const unknownInterval: Milliseconds = 100;
/** While the engine changes groups, each wait is time in which nobody is served. */
const changingInterval: Milliseconds = 20;
/** Lines about questions that brought nothing: one tells what is wrong, and an engine is asked up to fifty times a second. */
const questionLines = { burst: 5, perSecond: 0.2 };

/** Options of the driver. */
export interface EngineDriverOptions {
  readonly host: string;
  readonly port: EnginePort;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: DriverMetrics;
  /** Called after each answer of the engine, and when it stops answering. */
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
  readonly #unreadable: BoundedLog;
  readonly #unanswered: BoundedLog;
  #instance: KnownInstance | undefined;
  #wake = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: EngineDriverOptions) {
    this.#options = options;
    this.#controller = new EngineController(options.host);
    this.#unreadable = new BoundedLog(options.logger, options.clock, questionLines);
    this.#unanswered = new BoundedLog(options.logger, options.clock, questionLines);
    options.port.onDisconnect(() => {
      this.#wake.abort();
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
    this.#wake.abort();
    await this.#running;
    await this.#options.port.close();
  }

  /** Takes the placed group of this host; the engine is asked at once. */
  assign(group: EngineGroup | undefined): void {
    this.#controller.handle({ type: 'assigned', group });
    this.#wake.abort();
  }

  wantStaged(model: string | undefined): void {
    this.#controller.handle({ type: 'stagingWanted', model });
  }

  async #run(): Promise<void> {
    while (!this.#closing.signal.aborted) {
      this.#wake = new AbortController();
      const order = this.#handle(await this.#read());
      this.#options.onReading();
      if (order !== undefined) {
        await this.#order(order);
      } else {
        await this.#rest();
      }
    }
  }

  async #rest(): Promise<void> {
    await pause(this.#chooseInterval(), this.#wake.signal);
  }

  #chooseInterval(): Milliseconds {
    switch (this.#controller.absence) {
      case undefined:
        return this.#controller.isChanging ? changingInterval : restingInterval;
      case 'notAsked':
      case 'notIdentified':
      case 'unanswered':
        return unknownInterval;
      case 'silent':
      case 'unreadable':
      case 'refused':
        return restingInterval;
    }
  }

  #handle(event: EngineEvent): EngineOrder | undefined {
    const { reading: before, absence: absenceBefore } = this.#controller;
    const order = this.#controller.handle(event);
    const { reading: after, absence } = this.#controller;
    const { logger, metrics } = this.#options;
    const identities = { before: describeInstance(before), now: describeInstance(after) };
    if (identities.before !== identities.now) {
      metrics.noteInstance(identities.now);
      logger.info({ ...identities, absence }, 'engine instance changed');
    } else if (absence !== absenceBefore) {
      logger.info({ before: absenceBefore, absence }, 'engine still not read');
    }
    const describe = (reading: EngineReading | undefined): string =>
      JSON.stringify(reading?.membership);
    if (describe(before) !== describe(after)) {
      logger.info({ before: before?.membership, now: after?.membership }, 'membership changed');
    }
    return order;
  }

  async #read(): Promise<EngineEvent> {
    const { port, clock, metrics } = this.#options;
    const answer = await port.readStatus();
    switch (answer.type) {
      case 'status':
        return this.#describe(answer);
      case 'unreadable':
        metrics.noteUnreadable();
        this.#unreadable.note({ reason: answer.reason }, 'the answer of the engine cannot be read');
        return { type: 'unreadable', now: clock.monotonic() };
      case 'unanswered':
        this.#unanswered.note({ reason: answer.reason }, 'the engine did not answer');
        this.#instance = undefined;
        return { type: 'unanswered', now: clock.monotonic() };
      case 'refused':
        this.#instance = undefined;
        return { type: 'refused' };
    }
  }

  async #describe(status: EngineStatus): Promise<EngineEvent> {
    const instance = await this.#identify(status);
    if (instance === undefined) {
      this.#unanswered.note({}, 'the engine answers and did not say which instance it is');
      return { type: 'notIdentified' };
    }
    const now = this.#options.clock.monotonic();
    return { type: 'read', now, reading: { instance, ...status.state } };
  }

  /**
   * Asks for the id only when it may be another instance: the question takes a slot of the engine. One that started again under its id
   * says so by the time of its start, also on a connection that a proxy kept open.
   */
  async #identify(status: EngineStatus): Promise<InstanceIdentity | undefined> {
    const { connection, orderCount, startedAt } = status;
    const known = this.#instance;
    const isSame =
      known?.connection === connection &&
      orderCount >= known.orderCount &&
      startedAt === known.identity.startedAt;
    const identity = isSame ? known.identity : await this.#askIdentity(startedAt);
    this.#instance = identity === undefined ? undefined : { identity, connection, orderCount };
    return identity;
  }

  async #askIdentity(startedAt: WallTime | undefined): Promise<InstanceIdentity | undefined> {
    const id = await this.#options.port.readInstance();
    if (id === undefined) {
      return undefined;
    }
    return startedAt === undefined ? { id } : { id, startedAt };
  }

  async #order(order: EngineOrder): Promise<void> {
    const { port, clock, logger, metrics } = this.#options;
    const startedAt = clock.monotonic();
    const outcome = await port.order(order);
    const took = Math.round(clock.monotonic() - startedAt);
    metrics.noteOrder(order, outcome, took);
    logger.info({ order, outcome, took }, 'engine ordered');
  }
}

function describeInstance(reading: EngineReading | undefined): string | undefined {
  return reading === undefined ? undefined : formatIdentity(reading.instance);
}
