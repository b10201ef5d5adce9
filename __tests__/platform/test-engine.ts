import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

import { Flood } from '../support/flood.js';
import { usualEventInterval, writeEvents, type StreamWriter } from './event-stream.js';
import { beginWork, endWork, type Work } from './work.js';

/** A fake model runner that follows the platform's documentation: it reports its state, executes orders and streams responses. */

interface GroupMembership {
  readonly name: string;
  readonly epoch: number;
  readonly peers: readonly string[];
  state: 'joining' | 'ready' | 'open' | 'broken';
}

interface OrderBody {
  readonly op: 'join' | 'open' | 'close' | 'leave' | 'stage';
  readonly group?: string;
  readonly epoch?: number;
  readonly model?: string;
  readonly peers?: readonly string[];
  /** Number of orders that the engine must have begun, or it refuses the order. */
  readonly expect?: number;
}

/** A request as the engine answered it. */
export interface ReceivedRequest {
  readonly id: string;
  /** Id of the start of the engine that received it. */
  readonly engine: string;
  /** Arrival time in milliseconds of the monotonic clock. */
  readonly at: number;
  /** Pause in milliseconds that the engine asked for as it rejected the request. */
  readonly pause: number | undefined;
  /** Whether the response says that the engine is leaving. */
  readonly isLeaving: boolean;
}

const millisecondsPerSecond = 1000;
const joinDuration = 30;
const openDuration = 30;
/** Time after which a crashed engine restarts with a new id. */
const restartDelay = 300;
/** A request whose body contains this text crashes the engine that runs it. */
export const crashingContent = 'crash the engine';
/** Header field that lists the segments of a prompt. */
const segmentsHeader = 'x-prefix-hash';

/** Calls by path; every other path is that of a stream. */
const engineCalls: Readonly<Record<string, EngineCall>> = {
  '/report': 'report',
  '/healthz': 'health',
  '/order': 'order',
};

export type EngineCall = 'report' | 'health' | 'order' | 'stream';

export class TestEngine {
  readonly #initialId: string;
  #startCount = 1;
  /** Descriptions of the join orders received while the engine's current group was open. */
  readonly joinsWhileOpen: string[] = [];
  /** Attempt ids of the requests that the engine began to run. */
  readonly runs: string[] = [];
  /** The work on these requests. */
  readonly work: Work[] = [];
  /** Attempt ids of the requests that crashed this engine. */
  readonly crashes: string[] = [];
  /** Identifiers of prompt segments that crash the engine when it begins to answer. */
  readonly crashingSegments = new Set<string>();
  /** Advertised rate limit in requests per second; undefined for none. */
  rateLimit: number | undefined;
  /** Pause in seconds that the engine asks for while it rejects every request; undefined while it accepts them. */
  retryAfter: number | undefined;
  /** Whether each response says that the engine is leaving. */
  isLeaving = false;
  /** Arrival time of each request, in milliseconds of the monotonic clock. */
  readonly arrivals: number[] = [];
  /** The requests that asked for this engine, in order of arrival. */
  readonly received: ReceivedRequest[] = [];
  /** Delay of the report in milliseconds. */
  reportDelay = 0;
  /** Time between two events of a stream, in milliseconds. */
  eventInterval = usualEventInterval;
  /** Writes the events of a stream whose head has been written, and ends it. */
  writeStream: StreamWriter = writeEvents;
  /** Bytes sent in place of the next responses of each kind; a response each. */
  readonly faultyResponses: Readonly<Record<EngineCall, string[]>> = {
    report: [],
    health: [],
    order: [],
    stream: [],
  };
  /** Bytes that are sent without end in place of the responses to a call: the beginning, and what is repeated. */
  endless: { readonly call: EngineCall; readonly bytes: readonly [string, string] } | undefined;
  /** The endless responses that were begun. */
  readonly floods: Flood[] = [];
  /** Number of the next orders that get no response and are held back until `executeHeldOrders`. */
  ordersToHold = 0;
  readonly #heldOrders: OrderBody[] = [];
  readonly #host: string;
  readonly #port: number;
  #server: Server | undefined;
  #restartTimer: NodeJS.Timeout | undefined;
  #group: GroupMembership | undefined;
  #staged: readonly string[] = [];
  #orderCount = 0;
  #highestEpoch = 0;
  #openedAt: number | undefined;

  constructor(id: string, host: string, port: number) {
    this.#initialId = id;
    this.#host = host;
    this.#port = port;
  }

  /** Changes at each restart after a crash. */
  get id(): string {
    return this.#startCount === 1 ? this.#initialId : `${this.#initialId}-${this.#startCount}`;
  }

  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  get isOpen(): boolean {
    return this.#group?.state === 'open';
  }

  /** Time since when it serves its group, in milliseconds of the monotonic clock; undefined if it does not. */
  get openSince(): number | undefined {
    return this.isOpen ? this.#openedAt : undefined;
  }

  get peers(): readonly string[] {
    return this.#group?.peers ?? [];
  }

  open(): Promise<void> {
    const server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server = server;
    return new Promise((resolve) => {
      server.listen(this.#port, this.#host, resolve);
    });
  }

  /** Stops immediately and closes all connections. */
  async crash(): Promise<void> {
    clearTimeout(this.#restartTimer);
    this.work.forEach((work) => {
      endWork(work, 'crashed');
    });
    const server = this.#server;
    this.#server = undefined;
    this.#group = undefined;
    await new Promise<void>((resolve) => {
      server?.close(() => {
        resolve();
      });
      server?.closeAllConnections();
      if (server === undefined) {
        resolve();
      }
    });
  }

  /** Ends and starts again with a new id, without weights or a group. */
  async restart(): Promise<void> {
    await this.crash();
    this.#startCount += 1;
    this.#staged = [];
    this.#orderCount = 0;
    this.#highestEpoch = 0;
    this.retryAfter = undefined;
    this.isLeaving = false;
    this.#restartTimer = setTimeout(() => {
      void this.open();
    }, restartDelay);
  }

  async #crashDuring(id: string, response: ServerResponse): Promise<void> {
    this.crashes.push(id);
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-attempt-id': id });
    response.flushHeaders();
    await this.restart();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body = '';
    for await (const chunk of request) {
      body += String(chunk);
    }
    const { url = '' } = request;
    const faulty = this.faultyResponses[engineCalls[url] ?? 'stream'].shift();
    if (faulty !== undefined) {
      request.socket.write(faulty);
      return;
    }
    if (this.endless?.call === (engineCalls[url] ?? 'stream')) {
      this.floods.push(new Flood(request.socket, ...this.endless.bytes));
      return;
    }
    switch (url) {
      case '/report':
        await pause(this.reportDelay);
        response.end(JSON.stringify(this.#createReport()));
        return;
      case '/healthz':
        response.writeHead(200, { 'x-instance-id': this.id }).end();
        return;
      case '/order':
        this.#receiveOrder(JSON.parse(body) as OrderBody, response);
        return;
      default:
        this.#stream(request, body, response);
    }
  }

  #createReport(): object {
    const { name, epoch, state } = this.#group ?? {};
    return {
      stage: 'mixed',
      models: [],
      busy: this.#group?.state === 'joining',
      sequence: this.#orderCount,
      queued: 0,
      active: 0,
      fabric_domain: 'f1',
      staged: this.#staged,
      ...(this.#group === undefined ? {} : { group: { name, epoch, rank: 0, state } }),
    };
  }

  /** Executes the held orders, each after the ones before it have taken effect. */
  async executeHeldOrders(): Promise<void> {
    for (const order of this.#heldOrders.splice(0)) {
      this.#handleOrder(order);
      await pause(joinDuration + openDuration);
    }
  }

  #receiveOrder(order: OrderBody, response: ServerResponse): void {
    if (this.ordersToHold > 0) {
      this.ordersToHold -= 1;
      this.#heldOrders.push(order);
      response.destroy();
      return;
    }
    response.writeHead(this.#handleOrder(order)).end();
  }

  #handleOrder(order: OrderBody): number {
    if (order.expect !== undefined && order.expect !== this.#orderCount) {
      return 409;
    }
    const isCurrentGroup = this.#group?.name === order.group && this.#group?.epoch === order.epoch;
    switch (order.op) {
      case 'join':
        return this.#join(order);
      case 'open':
        if (!isCurrentGroup || this.#group?.state !== 'ready') {
          return 409;
        }
        setTimeout(() => {
          this.#setGroupState('open', order);
        }, openDuration);
        break;
      case 'close':
        this.#setGroupState('ready', order);
        break;
      case 'leave':
        this.#group = isCurrentGroup ? undefined : this.#group;
        break;
      case 'stage':
        this.#staged = [order.model ?? ''];
        break;
    }
    this.#orderCount += 1;
    return 202;
  }

  #join(order: OrderBody): number {
    if ((order.epoch ?? 0) < this.#highestEpoch) {
      return 412;
    }
    if (this.#group?.state === 'open') {
      this.joinsWhileOpen.push(
        `${this.id} leaves ${this.#group.name} open for ${order.group ?? ''}`,
      );
    }
    const { group = '', epoch = 0, peers = [] } = order;
    this.#group = { name: group, epoch, peers, state: 'joining' };
    this.#highestEpoch = epoch;
    this.#orderCount += 1;
    setTimeout(() => {
      this.#setGroupState('ready', order);
    }, joinDuration);
    return 202;
  }

  #setGroupState(state: GroupMembership['state'], { group, epoch }: OrderBody): void {
    const currentGroup = this.#group;
    if (currentGroup !== undefined && currentGroup.name === group && currentGroup.epoch === epoch) {
      currentGroup.state = state;
      this.#openedAt = state === 'open' ? performance.now() : undefined;
    }
  }

  get #leavingHeader(): Readonly<Record<string, string>> {
    return this.isLeaving ? { 'server-leaving': '1' } : {};
  }

  #hasCrashingSegment(request: IncomingMessage): boolean {
    const entries = String(request.headers[segmentsHeader] ?? '').split(',');
    return entries.some((entry) => this.crashingSegments.has(entry.split(':')[0] ?? ''));
  }

  #stream(request: IncomingMessage, body: string, response: ServerResponse): void {
    const id = String(request.headers['x-attempt-id']);
    this.arrivals.push(performance.now());
    if (request.headers['x-expect-instance'] !== this.id || !this.isOpen) {
      const headers = { 'x-attempt-id': id, 'x-instance-id': this.id, 'x-not-executed': '1' };
      response.writeHead(421, headers).end();
      return;
    }
    const pause =
      this.retryAfter === undefined ? undefined : this.retryAfter * millisecondsPerSecond;
    const { isLeaving } = this;
    this.received.push({ id, engine: this.id, at: performance.now(), pause, isLeaving });
    if (pause !== undefined) {
      const headers = { 'x-not-executed': '1', 'retry-after': String(this.retryAfter) };
      response.writeHead(503, { 'x-attempt-id': id, ...headers, ...this.#leavingHeader }).end();
      return;
    }
    this.runs.push(id);
    this.work.push(beginWork(id, response));
    if (body.includes(crashingContent) || this.#hasCrashingSegment(request)) {
      void this.#crashDuring(id, response);
      return;
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': id,
      'x-response-seal': `seal-of-${this.id}`,
      ...this.#leavingHeader,
      ...(this.rateLimit === undefined ? {} : { 'server-limit': String(this.rateLimit) }),
    });
    this.writeStream(request.headers, response, this.eventInterval);
  }
}
