import type { Milliseconds, RandomSource } from '../../src/common/index.js';
import { PermitAllocator, type PermitAnswer } from '../../src/control/routing/index.js';
import { RequestPermits } from '../../src/dispatch/index.js';

/** Simulates gateways that share the rate limit of an upstream through the leader of control. */

export const tick: Milliseconds = 10;
const reportInterval: Milliseconds = 500;
/** Maximum one-way delay between a gateway and the leader. */
const maximumDelay: Milliseconds = 40;
/** Time from a request to the headers of its answer. */
const answerDelay: Milliseconds = 150;

interface Arrival {
  readonly at: Milliseconds;
  readonly gateway: number;
  /** Whether the gateway had received the limit in an answer at least 500 ms earlier. */
  readonly knewLimit: boolean;
}

class SimulatedGateway {
  permits: RequestPermits;
  /** Time of the first answer that contained the limit. */
  limitReceivedAt = Number.POSITIVE_INFINITY;
  readonly reportOffset: Milliseconds;

  constructor(gateways: number, reportOffset: Milliseconds) {
    this.permits = new RequestPermits(gateways, 0);
    this.reportOffset = reportOffset;
  }
}

interface DelayedCall {
  readonly at: Milliseconds;
  readonly run: () => void;
}

export class LimitWorld {
  now: Milliseconds = 0;
  /** Rate limit of the upstream in requests per second; undefined for none. */
  limit: number | undefined;
  isLeaderless = false;
  readonly arrivals: Arrival[] = [];
  readonly gateways: readonly SimulatedGateway[];
  readonly #random: RandomSource;
  #allocator = new PermitAllocator();
  #delayed: DelayedCall[] = [];

  constructor(random: RandomSource, gatewayCount: number) {
    this.#random = random;
    this.gateways = Array.from(
      { length: gatewayCount },
      () => new SimulatedGateway(gatewayCount, random.integerBelow(reportInterval / tick) * tick),
    );
  }

  /** Replaces the leader with one that knows no limits. */
  changeLeader(): void {
    this.#allocator = new PermitAllocator();
  }

  restartGateway(gateway: SimulatedGateway): void {
    gateway.permits = new RequestPermits(this.gateways.length, this.now);
    gateway.limitReceivedAt = Number.POSITIVE_INFINITY;
  }

  /** Delivers a request that is eligible for the upstream to a random gateway. */
  receiveRequest(): void {
    const index = this.#random.integerBelow(this.gateways.length);
    const gateway = this.gateways[index];
    if (gateway === undefined) {
      return;
    }
    const { permits } = gateway;
    permits.noteWanted(upstream);
    if (!permits.maySend(upstream, this.now)) {
      return;
    }
    permits.noteSent(upstream, this.now);
    const sentAt = this.now;
    this.arrivals.push({
      at: sentAt,
      gateway: index,
      knewLimit: sentAt - gateway.limitReceivedAt >= 500,
    });
    this.#schedule(answerDelay, () => {
      permits.noteAnswer(upstream, this.limit, sentAt, this.now);
      if (this.limit !== undefined) {
        gateway.limitReceivedAt = Math.min(gateway.limitReceivedAt, this.now);
      }
    });
  }

  step(): void {
    this.now += tick;
    const due = this.#delayed.filter(({ at }) => at <= this.now);
    this.#delayed = this.#delayed.filter(({ at }) => at > this.now);
    due.forEach(({ run }) => {
      run();
    });
    this.gateways.forEach((gateway, index) => {
      if (this.now % reportInterval === gateway.reportOffset) {
        this.#report(gateway, `gateway-${index}`);
      }
    });
  }

  #report(gateway: SimulatedGateway, name: string): void {
    const { permits } = gateway;
    const report = permits.takeReport(this.now);
    this.#schedule(this.#random.integerBelow(maximumDelay), () => {
      if (this.isLeaderless) {
        return;
      }
      const answer: PermitAnswer = this.#allocator.allocate(
        { gateway: name, ...report, cold: undefined },
        this.now,
      );
      this.#schedule(this.#random.integerBelow(maximumDelay), () => {
        permits.applyGrant(answer, report.reportedAt, this.now);
      });
    });
  }

  #schedule(delay: Milliseconds, run: () => void): void {
    this.#delayed.push({ at: this.now + Math.max(tick, delay), run });
  }
}

const upstream = 'i-1';
