import type { Milliseconds, RandomSource } from '../../src/common/index.js';
import { PermitAllocator } from '../../src/control/routing/index.js';
import { RequestPermits } from '../../src/dispatch/index.js';

/** Simulates gateways that send requests to one cold upstream and share what it tolerates through the leader of control. */

export const tick: Milliseconds = 10;
const reportInterval: Milliseconds = 500;
const earlyCheckInterval: Milliseconds = 50;
const reportTimeout: Milliseconds = 1000;
const retryInterval: Milliseconds = 50;
/** Time after which a waiting request is refused. */
const longestWait: Milliseconds = 400;
/** Maximum one-way delay between a gateway and the leader. */
const maximumDelay: Milliseconds = 40;
/** Maximum delay from a gateway to the upstream. */
const maximumLinkDelay: Milliseconds = 20;
/** Time for which a leader that has been replaced may still answer. */
const staleLeaderTime: Milliseconds = 1000;

export const upstream = 'i-1@1';
export const profile = { duration: 60_000, requestsPerSecond: 32 };
export const bounds = { overrun: 1.5, slack: 5 };
export const mostPerSecond = profile.requestsPerSecond * bounds.overrun + bounds.slack;

interface Leader {
  readonly allocator: PermitAllocator;
  readonly term: number;
  endsAt: Milliseconds;
}

export class SimulatedGateway {
  permits: RequestPermits;
  /** Requests per second that arrive here. */
  rate = 0;
  /** Until then nothing is exchanged with control. */
  cutUntil: Milliseconds = 0;
  leader: Leader;
  waiting: Milliseconds[] = [];
  /** Whether it knows of the upstream; before, it cannot send there. */
  hasHeard = false;

  constructor(
    readonly name: string,
    readonly reportOffset: Milliseconds,
    leader: Leader,
    now: Milliseconds,
  ) {
    this.leader = leader;
    this.permits = new RequestPermits(8, now, bounds);
  }
}

interface DelayedCall {
  readonly at: Milliseconds;
  readonly run: () => void;
}

export class ColdWorld {
  now: Milliseconds = 0;
  readonly arrivals: Milliseconds[] = [];
  readonly gateways: SimulatedGateway[] = [];
  /** Longest time from the assignment of a request until a connection is open. */
  connectTime: Milliseconds = 0;
  /** Until then no connection opens; all that wait open together. */
  unreachableUntil: Milliseconds = 0;
  /** Share of the requests that are answered 421. */
  misdirectedShare = 0;
  /** No control host leads until then. */
  leaderlessUntil: Milliseconds = 0;
  readonly #random: RandomSource;
  #leader: Leader = { allocator: new PermitAllocator(), term: 1, endsAt: Number.POSITIVE_INFINITY };
  #delayed: DelayedCall[] = [];
  /** Whether gateways have heard of the start. */
  #isStarted = false;

  constructor(random: RandomSource, gatewayCount: number) {
    this.#random = random;
    for (let index = 0; index < gatewayCount; index += 1) {
      this.addGateway(`gateway-${index}`);
    }
  }

  addGateway(name: string): SimulatedGateway {
    const offset = this.#random.integerBelow(reportInterval / tick) * tick;
    const gateway = new SimulatedGateway(name, offset, this.#leader, this.now);
    this.gateways.push(gateway);
    this.#listStart(gateway);
    return gateway;
  }

  restartGateway(gateway: SimulatedGateway): void {
    gateway.permits = new RequestPermits(8, this.now, bounds);
    gateway.waiting = [];
    this.#listStart(gateway);
  }

  /** Gateways hear of a new start by their watch, at slightly different times. */
  startUpstream(): void {
    this.#isStarted = true;
    for (const gateway of this.gateways) {
      this.#schedule(this.#random.integerBelow(100), () => {
        this.#listStart(gateway);
      });
    }
  }

  /** The former leader may answer for a while; gateways hear of the new one at different times, the given ones last. */
  changeLeader(longestNotice: Milliseconds = 2000, late: readonly SimulatedGateway[] = []): void {
    this.#leader.endsAt = this.now + staleLeaderTime;
    const { term } = this.#leader;
    const next = {
      allocator: new PermitAllocator(),
      term: term + 1,
      endsAt: Number.POSITIVE_INFINITY,
    };
    this.#leader = next;
    for (const gateway of this.gateways) {
      const notice = late.includes(gateway) ? 2000 : this.#random.integerBelow(longestNotice);
      this.#schedule(notice, () => {
        gateway.leader = next;
      });
    }
  }

  step(): void {
    this.now += tick;
    const due = this.#delayed.filter(({ at }) => at <= this.now);
    this.#delayed = this.#delayed.filter(({ at }) => at > this.now);
    due.forEach(({ run }) => {
      run();
    });
    for (const gateway of this.gateways) {
      this.#stepGateway(gateway);
    }
  }

  #stepGateway(gateway: SimulatedGateway): void {
    const isDue = this.now % reportInterval === gateway.reportOffset;
    const isEarly = this.now % earlyCheckInterval === 0 && gateway.permits.isReportDue(this.now);
    if (isDue || isEarly) {
      this.#report(gateway);
    }
    if (gateway.hasHeard && this.#random.fraction() < (gateway.rate * tick) / 1000) {
      gateway.waiting.push(this.now);
      this.#trySend(gateway);
    }
    if (this.now % retryInterval === 0) {
      gateway.waiting = gateway.waiting.filter((at) => this.now - at < longestWait);
      for (let count = gateway.waiting.length; count > 0; count -= 1) {
        this.#trySend(gateway);
      }
    }
  }

  #trySend(gateway: SimulatedGateway): void {
    const { permits } = gateway;
    permits.noteWanted(upstream);
    if (!permits.maySend(upstream, this.now)) {
      return;
    }
    gateway.waiting.pop();
    permits.noteSent(upstream, this.now);
    const write = (): void => {
      permits.noteWritten(upstream, this.now);
      this.#arrive(permits);
    };
    const connecting = this.connectTime === 0 ? 0 : this.#random.integerBelow(this.connectTime);
    const wait = Math.max(connecting, this.unreachableUntil - this.now);
    if (wait < tick) {
      write();
    } else {
      this.#schedule(wait, write);
    }
  }

  #arrive(permits: RequestPermits): void {
    if (this.#random.fraction() < this.misdirectedShare) {
      this.#schedule(maximumLinkDelay, () => {
        permits.noteMisdirected(upstream);
      });
      return;
    }
    this.arrivals.push(this.now + this.#random.integerBelow(maximumLinkDelay));
  }

  #report(gateway: SimulatedGateway): void {
    const { permits, leader } = gateway;
    const { cold, ...report } = permits.takeReport(this.now);
    this.#scheduleLink(gateway, () => {
      if (this.now >= leader.endsAt || this.now < this.leaderlessUntil || cold === undefined) {
        return;
      }
      const { allocator, term } = leader;
      const request = { gateway: gateway.name, ...report, cold: { report: cold, term } };
      const answer = allocator.allocate(request, this.now);
      this.#scheduleLink(gateway, () => {
        if (this.now - report.reportedAt < reportTimeout) {
          permits.applyGrant(answer, report.reportedAt, this.now);
        }
      });
    });
  }

  /** Also messages that are under way are lost when a gateway is cut off. */
  #scheduleLink(gateway: SimulatedGateway, run: () => void): void {
    this.#schedule(this.#random.integerBelow(maximumDelay), () => {
      if (this.now >= gateway.cutUntil) {
        run();
      }
    });
  }

  #listStart(gateway: SimulatedGateway): void {
    const { permits } = gateway;
    gateway.hasHeard = this.#isStarted;
    if (this.#isStarted) {
      permits.listStarts(new Map([[upstream, profile]]), this.now);
    } else {
      permits.listStarts(new Map([['i-0@1', { ...profile, duration: 1 }]]), this.now);
    }
  }

  #schedule(delay: Milliseconds, run: () => void): void {
    this.#delayed.push({ at: this.now + Math.max(tick, delay), run });
  }
}

/** Most arrivals in any sliding second. */
export function findMostPerSecond(arrivals: readonly Milliseconds[]): number {
  const sorted = [...arrivals].sort((one, other) => one - other);
  let first = 0;
  let most = 0;
  sorted.forEach((at, index) => {
    while ((sorted[first] ?? at) <= at - 1000) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

export function countPerSecond(
  arrivals: readonly Milliseconds[],
  from: Milliseconds,
  until: Milliseconds,
): number {
  return arrivals.filter((at) => at >= from && at < until).length / ((until - from) / 1000);
}
