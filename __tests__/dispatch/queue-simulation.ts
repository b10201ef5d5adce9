import {
  createRandomSource,
  type Milliseconds,
  type RandomSource,
} from '../../src/common/index.js';
import type { QueueEntry, RequestQueue } from '../../src/dispatch/index.js';

/**
 * Simulates, in virtual time, gateways that share the slots of some groups, each with a queue of its own. A slot that becomes free goes to a
 * random gateway with requests for it. Callers that are refused come back once, or at once and often.
 */

/** Requests of one kind from one account. */
export interface Traffic {
  readonly account: string;
  readonly route: string;
  readonly priority: number;
  readonly requestsPerSecond: number;
  readonly objective: Milliseconds;
  readonly tokens: number;
  /** Mean time for which a request occupies its slot. */
  readonly duration: Milliseconds;
  readonly returns: 'onceLater' | 'atOnceAndOften';
  /** Gateway that all requests come to; absent if they come to random ones. */
  readonly gateway?: number;
}

export interface SimulationOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly slots: number;
  readonly traffic: readonly Traffic[];
  /** Factor of all rates from `from` to `to`. */
  readonly burst?: {
    readonly factor: number;
    readonly from: Milliseconds;
    readonly to: Milliseconds;
  };
  readonly end: Milliseconds;
  readonly createQueue: (gateway: number) => RequestQueue<SimulatedRequest>;
  /** Called when an attempt arrives at a gateway. */
  readonly onArrival?: (gateway: number, traffic: Traffic, now: Milliseconds) => void;
}

/** What became of one request of a caller, over all its attempts. */
export interface CallRecord {
  readonly traffic: Traffic;
  readonly calledAt: Milliseconds;
  attempts: number;
  /** Time from the first attempt to the first byte; undefined if it was never served. */
  firstByte: Milliseconds | undefined;
  /** For each refusal, how long the attempt was held. */
  readonly held: Milliseconds[];
}

export interface SimulatedRequest extends QueueEntry {
  readonly call: CallRecord;
}

/** Time from the start of a request to its first byte. */
export const startTime: Milliseconds = 60;
/** A gateway refuses a request that has waited this long. */
const maximumWait: Milliseconds = 500;
const returnDelay: Milliseconds = 1000;
const impatientDelay: Milliseconds = 20;
const impatientAttempts = 12;
const tick: Milliseconds = 1;

export function simulateQueues(options: SimulationOptions): readonly CallRecord[] {
  const world = new QueueSimulation(options);
  for (let now = 0; now < options.end; now += tick) {
    world.step(now);
  }
  return world.calls;
}

class QueueSimulation {
  readonly #options: SimulationOptions;
  readonly #queues: readonly RequestQueue<SimulatedRequest>[];
  readonly #arrivals: RandomSource;
  /** Separate sources, so that the arrivals do not depend on the outcomes. */
  readonly #work: RandomSource;
  readonly calls: CallRecord[] = [];
  #returns: { readonly at: Milliseconds; readonly call: CallRecord }[] = [];
  #ends: Milliseconds[] = [];
  #identifier = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#arrivals = createRandomSource(options.seed);
    this.#work = createRandomSource(options.seed + 1);
    this.#queues = Array.from({ length: options.gateways }, (_, gateway) => {
      return options.createQueue(gateway);
    });
  }

  step(now: Milliseconds): void {
    this.#ends = this.#ends.filter((end) => end > now);
    const first = this.#work.integerBelow(this.#queues.length);
    for (const queue of [...this.#queues.slice(first), ...this.#queues.slice(0, first)]) {
      this.#serve(queue, now);
    }
    const due = this.#returns.filter(({ at }) => at <= now);
    this.#returns = this.#returns.filter(({ at }) => at > now);
    due.forEach(({ call }) => {
      this.#offer(call, now);
    });
    this.#arrive(now);
  }

  #arrive(now: Milliseconds): void {
    const { traffic, burst } = this.#options;
    const factor = burst !== undefined && now >= burst.from && now < burst.to ? burst.factor : 1;
    for (const source of traffic) {
      if (this.#arrivals.fraction() < (source.requestsPerSecond * factor * tick) / 1000) {
        const call = {
          traffic: source,
          calledAt: now,
          attempts: 0,
          firstByte: undefined,
          held: [],
        };
        this.calls.push(call);
        this.#offer(call, now);
      }
    }
  }

  #offer(call: CallRecord, now: Milliseconds): void {
    const { account, route, priority, tokens, objective } = call.traffic;
    call.attempts += 1;
    this.#identifier += 1;
    const drawn = this.#work.integerBelow(this.#queues.length);
    const gateway = call.traffic.gateway ?? drawn;
    this.#options.onArrival?.(gateway, call.traffic, now);
    const queue = this.#queues[gateway];
    const times = { arrivedAt: now, objectiveAt: now + objective, refuseAt: now + maximumWait };
    const id = String(this.#identifier);
    const entry = { id, account, route, priority, work: tokens, tried: '', call, ...times };
    queue?.offer(entry, now);
    if (queue !== undefined) {
      this.#serve(queue, now);
    }
  }

  #serve(queue: RequestQueue<SimulatedRequest>, now: Milliseconds): void {
    const { slots } = this.#options;
    const hasSlot = (): boolean => this.#ends.length < slots;
    for (
      let entry = queue.next(now, hasSlot);
      entry !== undefined;
      entry = queue.next(now, hasSlot)
    ) {
      const { call } = entry;
      call.firstByte = now + startTime - call.calledAt;
      this.#ends.push(now + call.traffic.duration * -Math.log(1 - this.#work.fraction()));
    }
    for (const { entry } of queue.expire(now)) {
      this.#refuse(entry, now);
    }
  }

  #refuse({ call, arrivedAt }: SimulatedRequest, now: Milliseconds): void {
    call.held.push(now - arrivedAt);
    const isPatient = call.traffic.returns === 'onceLater';
    if (call.attempts < (isPatient ? 2 : impatientAttempts)) {
      this.#returns.push({ at: now + (isPatient ? returnDelay : impatientDelay), call });
    }
  }
}

export function isInTime({ firstByte, traffic }: CallRecord): boolean {
  return firstByte !== undefined && firstByte <= traffic.objective;
}

/** Share of the records that meet the condition; 1 if there are none. */
export function shareOf<Item>(items: readonly Item[], condition: (item: Item) => boolean): number {
  return items.length === 0 ? 1 : items.filter(condition).length / items.length;
}

export function isServed({ firstByte }: CallRecord): boolean {
  return firstByte !== undefined;
}
