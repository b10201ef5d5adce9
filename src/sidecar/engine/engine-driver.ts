import type { Logger } from 'pino';

import { pause, type Clock, type ManagedPart, type Milliseconds } from '../../common/index.js';
import type { EngineGroup, EngineReading } from '../../routing/index.js';
import type { DriverMetrics } from './driver-metrics.js';
import { EngineController, type EngineEvent } from './engine-controller.js';
import type { EngineOrder, EnginePort, EngineStatus } from './engine-port.js';

/** Asks the engine beside a sidecar how it is, and carries out what the controller decides. */

/**
 * The connection to an engine that ends closes at once, and that wakes the driver; this is for what no connection shows. Ten
 * questions a second took 1.7% of a core of each host.
 */
const restingInterval: Milliseconds = 400;
/** While the engine changes groups, each wait is time in which nobody is served. */
const changingInterval: Milliseconds = 20;

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
  readonly name: string;
  readonly connection: number;
  readonly orderCount: number;
}

export class EngineDriver implements ManagedPart {
  readonly name = 'engine driver';
  readonly #options: EngineDriverOptions;
  readonly #controller: EngineController;
  readonly #closing = new AbortController();
  #instance: KnownInstance | undefined;
  #wake = new AbortController();
  #running: Promise<void> | undefined;

  constructor(options: EngineDriverOptions) {
    this.#options = options;
    this.#controller = new EngineController(options.host);
    options.port.onDisconnect(() => {
      this.#wake.abort();
    });
  }

  get reading(): EngineReading | undefined {
    return this.#controller.reading;
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
    const interval = this.#controller.isChanging ? changingInterval : restingInterval;
    await pause(interval, this.#wake.signal);
  }

  #handle(event: EngineEvent): EngineOrder | undefined {
    const before = this.#controller.reading;
    const order = this.#controller.handle(event);
    const after = this.#controller.reading;
    const { logger, metrics } = this.#options;
    if (before?.instance !== after?.instance) {
      metrics.noteInstance(after?.instance);
      logger.info({ before: before?.instance, now: after?.instance }, 'engine instance changed');
    }
    const describe = (reading: EngineReading | undefined): string =>
      JSON.stringify(reading?.membership);
    if (describe(before) !== describe(after)) {
      logger.info({ before: before?.membership, now: after?.membership }, 'membership changed');
    }
    return order;
  }

  async #read(): Promise<EngineEvent> {
    const { port, clock } = this.#options;
    const status = await port.readStatus();
    const instance = status === undefined ? undefined : await this.#identify(status);
    if (status === undefined || instance === undefined) {
      this.#instance = undefined;
      return { type: 'silent' };
    }
    return { type: 'read', now: clock.monotonic(), reading: { instance, ...status.state } };
  }

  /** Asks for the instance only when it may be another one: the question takes a slot of the engine. */
  async #identify({ connection, orderCount }: EngineStatus): Promise<string | undefined> {
    const known = this.#instance;
    const isSame = known?.connection === connection && orderCount >= known.orderCount;
    const name = isSame ? known.name : await this.#options.port.readInstance();
    this.#instance = name === undefined ? undefined : { name, connection, orderCount };
    return name;
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
