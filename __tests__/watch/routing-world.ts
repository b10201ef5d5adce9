import type { Milliseconds, RandomSource } from '../../src/common/index.js';
import { RoutingHub } from '../../src/control/routing/index.js';
import { initialRoutingState, type RoutingState } from '../../src/control/state/index.js';
import type { RoutingWatchResponse } from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { decodeRoutingEvents, RoutingKeeper } from '../../src/watch/index.js';
import type { MessageQueue } from '../../src/wire/index.js';
import { createDocument, streamRoute } from '../routing/documents.js';

/**
 * Control hosts that take accepted changes at their own pace, and gateways that watch one of them behind a link of their own: with the real
 * hubs, queues and keepers, in one simulated time.
 */

export const tick: Milliseconds = 50;
const signInterval: Milliseconds = 500;
const silenceLimit: Milliseconds = 1600;
const longestReconnectDelay: Milliseconds = 500;
/** A control host is up to date while it had everything that was accepted this long ago. */
const freshnessLimit: Milliseconds = 1500;

interface Accepted {
  readonly at: Milliseconds;
  readonly state: RoutingState;
}

export class SimulatedControl {
  hub = new RoutingHub();
  applied = 0;
  isDown = false;
  isCut = false;
  /** Changes that it takes in a tick. */
  pace = 10;
  freshAt: Milliseconds = 0;
}

export class SimulatedGateway {
  keeper = new RoutingKeeper();
  queue: MessageQueue<RoutingWatchResponse> | undefined;
  reader: AsyncIterator<RoutingWatchResponse> | undefined;
  control: SimulatedControl | undefined;
  pending: RoutingWatchResponse | undefined;
  isReading = false;
  arrivesAt: Milliseconds = 0;
  heardAt: Milliseconds = 0;
  connectsAt: Milliseconds = 0;
  turn: number;
  isCut = false;
  /** Time that a message takes on its link. */
  delay: Milliseconds = 1;

  constructor(turn: number) {
    this.turn = turn;
  }

  get version(): number {
    return this.keeper.read().table?.document.version ?? 0;
  }
}

export class RoutingWorld {
  readonly controls: readonly SimulatedControl[];
  readonly gateways: readonly SimulatedGateway[];
  readonly violations: string[] = [];
  now: Milliseconds = 0;
  /** A fault put in on purpose: control hosts vouch for their state whether or not it is up to date. */
  vouchesAlways = false;
  readonly #random: RandomSource;
  readonly #accepted: Accepted[] = [{ at: 0, state: initialRoutingState }];

  constructor(random: RandomSource, controlCount: number, gatewayCount: number) {
    this.#random = random;
    this.controls = Array.from({ length: controlCount }, () => new SimulatedControl());
    this.gateways = Array.from({ length: gatewayCount }, (_, index) => new SimulatedGateway(index));
  }

  get newest(): RoutingState {
    return this.#accepted.at(-1)?.state ?? initialRoutingState;
  }

  get newestVersion(): number {
    return this.newest.document?.version ?? 0;
  }

  /** A change is accepted: the next version, with a route of its own. */
  accept(): void {
    const version = this.newestVersion + 1;
    const routes = [...(this.newest.document?.routes ?? []), addRoute(version)];
    const document = createDocument({ version, routes });
    this.#accepted.push({ at: this.now, state: { ...this.newest, document } });
  }

  /** Its disk is kept, at the state of a while ago; it takes the rest anew. */
  restartControl(control: SimulatedControl): void {
    control.hub.close();
    control.hub = new RoutingHub();
    control.applied = Math.max(0, control.applied - this.#random.integerBelow(5));
    control.freshAt = Number.NEGATIVE_INFINITY;
    control.isDown = false;
  }

  restartGateway(gateway: SimulatedGateway): void {
    this.#disconnect(gateway);
    gateway.keeper = new RoutingKeeper();
  }

  async run(duration: Milliseconds): Promise<void> {
    const end = this.now + duration;
    while (this.now < end) {
      this.now += tick;
      this.controls.forEach((control) => {
        this.#stepControl(control);
      });
      for (const gateway of this.gateways) {
        await this.#stepGateway(gateway);
      }
    }
  }

  /** The newest version that was accepted this long ago. */
  versionBefore(age: Milliseconds): number {
    const known = this.#accepted.findLast(({ at }) => at <= this.now - age);
    return known?.state.document?.version ?? 0;
  }

  #stepControl(control: SimulatedControl): void {
    if (control.isDown) {
      return;
    }
    const last = this.#accepted.length - 1;
    if (!control.isCut) {
      control.applied = Math.min(last, control.applied + control.pace);
      control.freshAt = control.applied === last ? this.now : control.freshAt;
    }
    const state = this.#accepted[control.applied]?.state ?? initialRoutingState;
    control.hub.publish(control.applied, state);
    if (this.now % signInterval === 0) {
      control.hub.sendStatus(this.#describeSign(control));
    }
  }

  #describeSign(control: SimulatedControl) {
    const isFresh = this.vouchesAlways || this.now - control.freshAt < freshnessLimit;
    return { isFresh, leader: '10.0.0.1:1', voters: ['10.0.0.1:1'] };
  }

  async #stepGateway(gateway: SimulatedGateway): Promise<void> {
    if (gateway.queue === undefined) {
      this.#connect(gateway);
    }
    if (this.now - gateway.heardAt > silenceLimit || gateway.control?.isDown === true) {
      this.#disconnect(gateway);
      return;
    }
    // Several messages arrive in one tick where the link lets them.
    for (let left = tick; left > 0 && !gateway.isCut; left -= gateway.delay) {
      await this.#readNext(gateway);
      if (gateway.pending === undefined || gateway.arrivesAt > this.now) {
        return;
      }
      this.#deliver(gateway, gateway.pending);
    }
  }

  async #readNext(gateway: SimulatedGateway): Promise<void> {
    if (gateway.pending !== undefined || gateway.isReading || gateway.reader === undefined) {
      return;
    }
    const { reader } = gateway;
    gateway.isReading = true;
    void reader.next().then(({ value, done }) => {
      if (gateway.reader === reader) {
        gateway.isReading = false;
        gateway.pending = done === true ? undefined : value;
        gateway.arrivesAt = this.now + gateway.delay;
      }
    });
    await Promise.resolve().then(() => undefined);
    await Promise.resolve();
  }

  #deliver(gateway: SimulatedGateway, message: RoutingWatchResponse): void {
    gateway.pending = undefined;
    gateway.heardAt = this.now;
    const before = gateway.version;
    const verdicts = decodeRoutingEvents(message, this.now).map((event) => {
      return gateway.keeper.handle(event);
    });
    if (gateway.version < before) {
      this.violations.push(`version ${before} went back to ${gateway.version}`);
    }
    if (verdicts.includes('leave')) {
      this.#disconnect(gateway);
    }
  }

  #connect(gateway: SimulatedGateway): void {
    if (this.now < gateway.connectsAt) {
      gateway.heardAt = this.now;
      return;
    }
    gateway.turn += 1;
    const control = this.controls[gateway.turn % this.controls.length];
    gateway.heardAt = this.now;
    if (control === undefined || control.isDown || gateway.isCut) {
      gateway.connectsAt = this.now + this.#random.integerBelow(longestReconnectDelay);
      return;
    }
    gateway.control = control;
    gateway.keeper.handle({ type: 'connected' });
    gateway.queue = control.hub.subscribe(gateway.version, this.#describeSign(control));
    gateway.reader = gateway.queue[Symbol.asyncIterator]();
  }

  #disconnect(gateway: SimulatedGateway): void {
    if (gateway.queue !== undefined) {
      gateway.control?.hub.unsubscribe(gateway.queue);
    }
    gateway.queue = undefined;
    gateway.reader = undefined;
    gateway.control = undefined;
    gateway.pending = undefined;
    gateway.isReading = false;
    gateway.connectsAt = this.now + this.#random.integerBelow(longestReconnectDelay);
  }
}

function addRoute(version: number) {
  return { ...streamRoute, name: `r-${version}`, pathPrefix: `/r-${version}/` };
}
