import { initialTransition, transition } from 'xstate';

import {
  assertNever,
  type Controller,
  type Milliseconds,
  type RandomSource,
} from '../../common/index.js';
import {
  isArtifactCovered,
  type EngineUpstream,
  type FencingNumber,
  type GroupName,
} from '../../model/index.js';
import { orderMachine, type OrderMachineEvent, type OrderSnapshot } from './order-machine.js';
import {
  chooseLoad,
  type EngineOrder,
  type EngineOrderAction,
  type OrderedPlacement,
  type OrderOptions,
} from './orders.js';

/** What the orders to an engine depend on; `now` is a reading of the sidecar's monotonic clock. */
export type OrderEvent =
  /** The newest placement of this host; undefined once it has none. */
  | {
      readonly type: 'placementChanged';
      readonly now: Milliseconds;
      readonly placement: OrderedPlacement | undefined;
    }
  /** What the engine announces; undefined while it is not there. */
  | {
      readonly type: 'engineChanged';
      readonly now: Milliseconds;
      readonly engine: EngineUpstream | undefined;
    }
  /** The placement whose lead may count on this host; undefined when none may. */
  | {
      readonly type: 'holderChanged';
      readonly now: Milliseconds;
      readonly holder: FencingNumber | undefined;
    }
  | {
      readonly type: 'orderAnswered';
      readonly now: Milliseconds;
      readonly sequence: number;
      readonly outcome: 'accepted' | 'fenced' | 'failed';
    }
  | { readonly type: 'ticked'; readonly now: Milliseconds };

/** What the orders ask of the shell. */
export type OrderEffect =
  /** Ask `isCurrent` again right before the bytes leave. */
  | { readonly type: 'send'; readonly order: EngineOrder }
  | {
      readonly type: 'readinessChanged';
      readonly group: GroupName;
      readonly fencingNumber: FencingNumber;
      readonly isReady: boolean;
    }
  /** The engine fails its orders again and again: the host is not fit to be a member. */
  | { readonly type: 'fitnessChanged'; readonly isFit: boolean }
  | { readonly type: 'wake'; readonly at: Milliseconds };

/** Brings the engine beside a sidecar to what the newest placement offers, one order at a time. */
export class OrderController implements Controller<OrderEvent, OrderEffect> {
  readonly #options: OrderOptions;
  readonly #random: RandomSource;
  #placement: OrderedPlacement | undefined;
  #highestFencingNumber: FencingNumber = 0;
  #engine: EngineUpstream | undefined;
  #holder: FencingNumber | undefined;
  #snapshot: OrderSnapshot = initialTransition(orderMachine)[0];
  #order: EngineOrder | undefined;
  #sequence = 0;
  /** When the order under way has failed, or the next one may be sent. */
  #dueAt: Milliseconds = Infinity;
  /** Placement whose role the engine has taken. */
  #roleOf: FencingNumber | undefined;
  #readyFor: OrderedPlacement | undefined;
  #isFit = true;

  constructor(options: OrderOptions, random: RandomSource) {
    this.#options = options;
    this.#random = random;
  }

  /**
   * Whether an order may still leave: the check right before it does.
   * An engine that ignores fencing numbers carries out whatever comes; a placement that changed while the order
   * waited for a connection would be undone by it.
   */
  isCurrent(order: EngineOrder): boolean {
    return order === this.#order && !this.#isHeldByOther();
  }

  handle(event: OrderEvent): readonly OrderEffect[] {
    switch (event.type) {
      case 'placementChanged':
        this.#changePlacement(event.placement);
        break;
      case 'engineChanged':
        this.#changeEngine(event.engine);
        break;
      case 'holderChanged':
        this.#holder = event.holder;
        break;
      case 'orderAnswered':
        this.#noteAnswer(event.sequence, event.outcome, event.now);
        break;
      case 'ticked':
        this.#checkTime(event.now);
        break;
      default:
        assertNever(event);
    }
    return this.#decide(event.now);
  }

  /** A placement that is older than one seen before arrives late and does nothing. */
  #changePlacement(placement: OrderedPlacement | undefined): void {
    if (placement !== undefined && placement.fencingNumber < this.#highestFencingNumber) {
      return;
    }
    if (placement?.fencingNumber === this.#placement?.fencingNumber) {
      return;
    }
    this.#highestFencingNumber = placement?.fencingNumber ?? this.#highestFencingNumber;
    this.#placement = placement;
    this.#drop();
  }

  /** An engine that went away forgets its role; one that comes back is told again. */
  #changeEngine(engine: EngineUpstream | undefined): void {
    this.#engine = engine;
    if (engine === undefined) {
      this.#roleOf = undefined;
      this.#drop();
    }
  }

  #noteAnswer(
    sequence: number,
    outcome: Extract<OrderEvent, { type: 'orderAnswered' }>['outcome'],
    now: Milliseconds,
  ): void {
    const order = this.#order;
    if (order?.sequence !== sequence) {
      return;
    }
    switch (outcome) {
      case 'accepted':
        this.#accept(order, now);
        return;
      case 'failed':
        this.#fail(now);
        return;
      case 'fenced':
        this.#step({ type: 'fenced' });
        this.#dueAt = Infinity;
        return;
      default:
        assertNever(outcome);
    }
  }

  #accept(order: EngineOrder, now: Milliseconds): void {
    if (order.action.type === 'changeRole') {
      this.#roleOf = order.fencingNumber;
      this.#end();
      return;
    }
    this.#step({ type: 'accepted' });
    this.#dueAt = now + this.#options.loadTimeout;
  }

  #fail(now: Milliseconds): void {
    this.#step({ type: 'failed' });
    this.#order = undefined;
    const { firstBackOff, longestBackOff } = this.#options;
    const longest = Math.min(longestBackOff, firstBackOff * 2 ** (this.#failures - 1));
    // Half fixed, half random: hosts whose loads failed together do not all come back to the weight store together.
    this.#dueAt = now + longest * (0.5 + 0.5 * this.#random.fraction());
  }

  #checkTime(now: Milliseconds): void {
    if (now < this.#dueAt) {
      return;
    }
    if (this.#snapshot.value === 'backingOff') {
      this.#step({ type: 'retried' });
      this.#dueAt = Infinity;
    } else {
      this.#fail(now);
    }
  }

  #decide(now: Milliseconds): readonly OrderEffect[] {
    const effects: OrderEffect[] = [];
    this.#noticeEffect();
    effects.push(...this.#changeReadiness());
    const action = this.#chooseAction();
    if (action !== undefined && this.#placement !== undefined) {
      effects.push(this.#send(action, this.#placement.fencingNumber, now));
    }
    effects.push(...this.#changeFitness());
    return [...effects, { type: 'wake', at: this.#dueAt }];
  }

  /** An order under way ends once the engine announces its effect, however it got there. */
  #noticeEffect(): void {
    const action = this.#order?.action;
    if (action === undefined || this.#engine === undefined || action.type === 'changeRole') {
      return;
    }
    const isLoaded = isArtifactCovered(action.artifact, this.#engine.loaded);
    if (isLoaded === (action.type !== 'unload')) {
      this.#end();
    }
  }

  /** Nothing is ordered while an order is under way, or while the lead of another placement may count on this engine. */
  #chooseAction(): EngineOrderAction | undefined {
    const placement = this.#placement;
    if (this.#snapshot.value !== 'idle' || this.#engine === undefined || placement === undefined) {
      return undefined;
    }
    if (this.#isHeldByOther()) {
      return undefined;
    }
    const load = chooseLoad(placement.artifact, this.#engine, this.#options.capacity);
    if (load !== undefined) {
      return load;
    }
    const hasRole = this.#roleOf === placement.fencingNumber;
    return hasRole ? undefined : { type: 'changeRole', role: placement.role };
  }

  #send(action: EngineOrderAction, fencingNumber: FencingNumber, now: Milliseconds): OrderEffect {
    this.#sequence += 1;
    this.#order = { sequence: this.#sequence, fencingNumber, action };
    this.#step({ type: 'sent' });
    this.#dueAt = now + this.#options.answerTimeout;
    return { type: 'send', order: this.#order };
  }

  #changeReadiness(): readonly OrderEffect[] {
    const ready = this.#isReady() ? this.#placement : undefined;
    const before = this.#readyFor;
    if (ready?.fencingNumber === before?.fencingNumber) {
      return [];
    }
    this.#readyFor = ready;
    const effects: OrderEffect[] = [];
    if (before !== undefined) {
      const { group, fencingNumber } = before;
      effects.push({ type: 'readinessChanged', group, fencingNumber, isReady: false });
    }
    if (ready !== undefined) {
      const { group, fencingNumber } = ready;
      effects.push({ type: 'readinessChanged', group, fencingNumber, isReady: true });
    }
    return effects;
  }

  #isReady(): boolean {
    const placement = this.#placement;
    if (placement === undefined || this.#engine === undefined) {
      return false;
    }
    const isLoaded = isArtifactCovered(placement.artifact, this.#engine.loaded);
    return isLoaded && this.#roleOf === placement.fencingNumber;
  }

  #changeFitness(): readonly OrderEffect[] {
    const isFit = this.#failures < this.#options.failuresUntilUnfit;
    if (isFit === this.#isFit) {
      return [];
    }
    this.#isFit = isFit;
    return [{ type: 'fitnessChanged', isFit }];
  }

  #isHeldByOther(): boolean {
    return this.#holder !== undefined && this.#holder !== this.#placement?.fencingNumber;
  }

  get #failures(): number {
    return this.#snapshot.context.failures;
  }

  #end(): void {
    this.#step({ type: 'done' });
    this.#order = undefined;
    this.#dueAt = Infinity;
  }

  #drop(): void {
    this.#step({ type: 'dropped' });
    this.#order = undefined;
    this.#dueAt = Infinity;
  }

  #step(event: OrderMachineEvent): void {
    [this.#snapshot] = transition(orderMachine, this.#snapshot, event);
  }
}
