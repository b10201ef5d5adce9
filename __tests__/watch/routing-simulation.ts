import type { Milliseconds, RandomSource } from '../../src/common/index.js';
import { RoutingHub } from '../../src/control/routing/index.js';
import { initialRoutingState, type RoutingState } from '../../src/control/state/index.js';
import type { RoutingWatchResponse } from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { decodeRoutingEvents, RoutingStateTracker } from '../../src/watch/index.js';
import type { MessageQueue } from '../../src/wire/index.js';
import { createDocument, streamRoute } from '../routing/documents.js';

/**
 * Simulates control hosts that apply accepted changes at different speeds, and gateways that each watch one of them over their own
 * link. Uses the real hubs, queues and state trackers in simulated time.
 */

export const tick: Milliseconds = 50;
const statusInterval: Milliseconds = 500;
const streamIdleLimit: Milliseconds = 1600;
const maximumReconnectDelay: Milliseconds = 500;
/** A control host counts as up to date for this long after it last had every accepted change. */
const freshnessLimit: Milliseconds = 1500;

interface AcceptedChange {
  readonly acceptedAt: Milliseconds;
  readonly state: RoutingState;
}

export class SimulatedControl {
  hub = new RoutingHub();
  applied = 0;
  isDown = false;
  isPartitioned = false;
  /** Maximum number of changes applied in one tick. */
  changesPerTick = 10;
  freshAt: Milliseconds = 0;
}

export class SimulatedGateway {
  tracker = new RoutingStateTracker();
  queue: MessageQueue<RoutingWatchResponse> | undefined;
  reader: AsyncIterator<RoutingWatchResponse> | undefined;
  control: SimulatedControl | undefined;
  pending: RoutingWatchResponse | undefined;
  isReading = false;
  arrivesAt: Milliseconds = 0;
  lastMessageAt: Milliseconds = 0;
  connectAfter: Milliseconds = 0;
  controlIndex: number;
  isPartitioned = false;
  /** Transmission time of a message on the link of this gateway. */
  linkDelay: Milliseconds = 1;

  constructor(controlIndex: number) {
    this.controlIndex = controlIndex;
  }

  get version(): number {
    return this.tracker.read().table?.document.version ?? 0;
  }
}

export class RoutingSimulation {
  readonly controls: readonly SimulatedControl[];
  readonly gateways: readonly SimulatedGateway[];
  readonly violations: string[] = [];
  now: Milliseconds = 0;
  /** Injected fault: control hosts confirm their state even when it is outdated. */
  confirmsStaleState = false;
  readonly #random: RandomSource;
  readonly #accepted: AcceptedChange[] = [{ acceptedAt: 0, state: initialRoutingState }];

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

  /** Accepts a change: the next version, with one more route. */
  accept(): void {
    const version = this.newestVersion + 1;
    const routes = [...(this.newest.document?.routes ?? []), addRoute(version)];
    const document = createDocument({ version, routes });
    this.#accepted.push({ acceptedAt: this.now, state: { ...this.newest, document } });
  }

  /** Restarts a control host from its disk, which may lack the last few changes; it applies those again. */
  restartControl(control: SimulatedControl): void {
    control.hub.close();
    control.hub = new RoutingHub();
    control.applied = Math.max(0, control.applied - this.#random.integerBelow(5));
    control.freshAt = Number.NEGATIVE_INFINITY;
    control.isDown = false;
  }

  restartGateway(gateway: SimulatedGateway): void {
    this.#disconnect(gateway);
    gateway.tracker = new RoutingStateTracker();
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

  /** The newest version that had been accepted by this long ago. */
  versionBefore(age: Milliseconds): number {
    const known = this.#accepted.findLast(({ acceptedAt }) => acceptedAt <= this.now - age);
    return known?.state.document?.version ?? 0;
  }

  #stepControl(control: SimulatedControl): void {
    if (control.isDown) {
      return;
    }
    const last = this.#accepted.length - 1;
    if (!control.isPartitioned) {
      control.applied = Math.min(last, control.applied + control.changesPerTick);
      control.freshAt = control.applied === last ? this.now : control.freshAt;
    }
    const state = this.#accepted[control.applied]?.state ?? initialRoutingState;
    control.hub.publish(control.applied, state);
    if (this.now % statusInterval === 0) {
      control.hub.sendStatus(this.#createStatus(control));
    }
  }

  #createStatus(control: SimulatedControl) {
    const isFresh = this.confirmsStaleState || this.now - control.freshAt < freshnessLimit;
    return { isFresh, leader: '10.0.0.1:1', voters: ['10.0.0.1:1'] };
  }

  async #stepGateway(gateway: SimulatedGateway): Promise<void> {
    if (gateway.queue === undefined) {
      this.#connect(gateway);
    }
    if (this.now - gateway.lastMessageAt > streamIdleLimit || gateway.control?.isDown === true) {
      this.#disconnect(gateway);
      return;
    }
    // A fast link delivers several messages in one tick.
    for (let left = tick; left > 0 && !gateway.isPartitioned; left -= gateway.linkDelay) {
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
        gateway.arrivesAt = this.now + gateway.linkDelay;
      }
    });
    await Promise.resolve().then(() => undefined);
    await Promise.resolve();
  }

  #deliver(gateway: SimulatedGateway, message: RoutingWatchResponse): void {
    gateway.pending = undefined;
    gateway.lastMessageAt = this.now;
    const before = gateway.version;
    const verdicts = decodeRoutingEvents(message, this.now).map((event) => {
      return gateway.tracker.handle(event);
    });
    if (gateway.version < before) {
      this.violations.push(`version ${before} reverted to ${gateway.version}`);
    }
    if (verdicts.includes('leave')) {
      this.#disconnect(gateway);
    }
  }

  #connect(gateway: SimulatedGateway): void {
    if (this.now < gateway.connectAfter) {
      gateway.lastMessageAt = this.now;
      return;
    }
    gateway.controlIndex += 1;
    const control = this.controls[gateway.controlIndex % this.controls.length];
    gateway.lastMessageAt = this.now;
    if (control === undefined || control.isDown || gateway.isPartitioned) {
      gateway.connectAfter = this.now + this.#random.integerBelow(maximumReconnectDelay);
      return;
    }
    gateway.control = control;
    gateway.tracker.handle({ type: 'connected' });
    gateway.queue = control.hub.subscribe(gateway.version, this.#createStatus(control));
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
    gateway.connectAfter = this.now + this.#random.integerBelow(maximumReconnectDelay);
  }
}

function addRoute(version: number) {
  return { ...streamRoute, name: `r-${version}`, pathPrefix: `/r-${version}/` };
}
