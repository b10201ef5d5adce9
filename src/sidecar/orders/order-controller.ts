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
  chooseNextLoadAction,
  type EngineOrder,
  type EngineOrderAction,
  type DesiredPlacement,
  type OrderOptions,
} from './orders.js';

/** Input events of the order controller; `now` is a reading of the sidecar's monotonic clock. */
export type OrderEvent =
  /** The newest placement of this host; undefined if it has none. */
  | {
      readonly type: 'placementChanged';
      readonly now: Milliseconds;
      readonly placement: DesiredPlacement | undefined;
    }
  /** The engine's latest announcement; undefined while the engine is absent. */
  | {
      readonly type: 'engineChanged';
      readonly now: Milliseconds;
      readonly engine: EngineUpstream | undefined;
    }
  /** The placement whose lead may hold a lease on this host; undefined if there is none. */
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

/** Effects that the caller must carry out. */
export type OrderEffect =
  /** Call `isCurrent` again immediately before sending. */
  | { readonly type: 'send'; readonly order: EngineOrder }
  | {
      readonly type: 'readinessChanged';
      readonly group: GroupName;
      readonly fencingNumber: FencingNumber;
      readonly isReady: boolean;
    }
  /** After repeated order failures the host is unfit to be a member of a group. */
  | { readonly type: 'fitnessChanged'; readonly isFit: boolean }
  | { readonly type: 'wake'; readonly at: Milliseconds };

/** Brings the local engine to the state that the newest placement requires, one order at a time. */
export class OrderController implements Controller<OrderEvent, OrderEffect> {
  readonly #options: OrderOptions;
  readonly #random: RandomSource;
  #placement: DesiredPlacement | undefined;
  #highestFencingNumber: FencingNumber = 0;
  #engine: EngineUpstream | undefined;
  #holder: FencingNumber | undefined;
  #snapshot: OrderSnapshot = initialTransition(orderMachine)[0];
  #order: EngineOrder | undefined;
  #sequence = 0;
  /** When the order in progress counts as failed, or when the next one may be sent after a back-off. */
  #deadline: Milliseconds = Infinity;
  /** Fencing number of the placement whose role the engine has accepted. */
  #roleFencingNumber: FencingNumber | undefined;
  #readyPlacement: DesiredPlacement | undefined;
  #isFit = true;

  constructor(options: OrderOptions, random: RandomSource) {
    this.#options = options;
    this.#random = random;
  }

  /**
   * Whether an order is still valid; called immediately before sending it.
   * An engine that ignores fencing numbers executes every order, so an order that waited for a connection could undo
   * a newer placement.
   */
  isCurrent(order: EngineOrder): boolean {
    return order === this.#order && !this.#isHeldByOther();
  }

  handle(event: OrderEvent): readonly OrderEffect[] {
    switch (event.type) {
      case 'placementChanged':
        this.#updatePlacement(event.placement);
        break;
      case 'engineChanged':
        this.#updateEngine(event.engine);
        break;
      case 'holderChanged':
        this.#holder = event.holder;
        break;
      case 'orderAnswered':
        this.#handleAnswer(event.sequence, event.outcome, event.now);
        break;
      case 'ticked':
        this.#handleTick(event.now);
        break;
      default:
        assertNever(event);
    }
    return this.#decide(event.now);
  }

  /** Ignores a placement that arrives late, that is, with a lower fencing number than one already seen. */
  #updatePlacement(placement: DesiredPlacement | undefined): void {
    if (placement !== undefined && placement.fencingNumber < this.#highestFencingNumber) {
      return;
    }
    if (placement?.fencingNumber === this.#placement?.fencingNumber) {
      return;
    }
    this.#highestFencingNumber = placement?.fencingNumber ?? this.#highestFencingNumber;
    this.#placement = placement;
    this.#discard();
  }

  /** An engine that disappears loses its role, so the role is sent again when it returns. */
  #updateEngine(engine: EngineUpstream | undefined): void {
    this.#engine = engine;
    if (engine === undefined) {
      this.#roleFencingNumber = undefined;
      this.#discard();
    }
  }

  #handleAnswer(
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
        this.#transition({ type: 'fenced' });
        this.#deadline = Infinity;
        return;
      default:
        assertNever(outcome);
    }
  }

  #accept(order: EngineOrder, now: Milliseconds): void {
    if (order.action.type === 'changeRole') {
      this.#roleFencingNumber = order.fencingNumber;
      this.#complete();
      return;
    }
    this.#transition({ type: 'accepted' });
    this.#deadline = now + this.#options.loadTimeout;
  }

  #fail(now: Milliseconds): void {
    this.#transition({ type: 'failed' });
    this.#order = undefined;
    const { initialBackOff: firstBackOff, maxBackOff: longestBackOff } = this.#options;
    const maxDelay = Math.min(longestBackOff, firstBackOff * 2 ** (this.#failureCount - 1));
    // Half of the delay is jitter, so that hosts whose loads failed together do not all retry at the weight store at once.
    this.#deadline = now + maxDelay * (0.5 + 0.5 * this.#random.fraction());
  }

  #handleTick(now: Milliseconds): void {
    if (now < this.#deadline) {
      return;
    }
    if (this.#snapshot.value === 'backingOff') {
      this.#transition({ type: 'retried' });
      this.#deadline = Infinity;
    } else {
      this.#fail(now);
    }
  }

  #decide(now: Milliseconds): readonly OrderEffect[] {
    const effects: OrderEffect[] = [];
    this.#detectCompletion();
    effects.push(...this.#updateReadiness());
    const action = this.#chooseAction();
    if (action !== undefined && this.#placement !== undefined) {
      effects.push(this.#send(action, this.#placement.fencingNumber, now));
    }
    effects.push(...this.#updateFitness());
    return [...effects, { type: 'wake', at: this.#deadline }];
  }

  /** An order is complete once the engine announces its effect, whether or not the order caused it. */
  #detectCompletion(): void {
    const action = this.#order?.action;
    if (action === undefined || this.#engine === undefined || action.type === 'changeRole') {
      return;
    }
    const isLoaded = isArtifactCovered(action.artifact, this.#engine.loaded);
    if (isLoaded === (action.type !== 'unload')) {
      this.#complete();
    }
  }

  /** Chooses no action while an order is in progress or while the lead of another placement may hold a lease on this host. */
  #chooseAction(): EngineOrderAction | undefined {
    const placement = this.#placement;
    if (this.#snapshot.value !== 'idle' || this.#engine === undefined || placement === undefined) {
      return undefined;
    }
    if (this.#isHeldByOther()) {
      return undefined;
    }
    const load = chooseNextLoadAction(placement.artifact, this.#engine, this.#options.capacity);
    if (load !== undefined) {
      return load;
    }
    const hasRole = this.#roleFencingNumber === placement.fencingNumber;
    return hasRole ? undefined : { type: 'changeRole', role: placement.role };
  }

  #send(action: EngineOrderAction, fencingNumber: FencingNumber, now: Milliseconds): OrderEffect {
    this.#sequence += 1;
    this.#order = { sequence: this.#sequence, fencingNumber, action };
    this.#transition({ type: 'sent' });
    this.#deadline = now + this.#options.answerTimeout;
    return { type: 'send', order: this.#order };
  }

  #updateReadiness(): readonly OrderEffect[] {
    const ready = this.#isReady() ? this.#placement : undefined;
    const before = this.#readyPlacement;
    if (ready?.fencingNumber === before?.fencingNumber) {
      return [];
    }
    this.#readyPlacement = ready;
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
    return isLoaded && this.#roleFencingNumber === placement.fencingNumber;
  }

  #updateFitness(): readonly OrderEffect[] {
    const isFit = this.#failureCount < this.#options.failuresUntilUnfit;
    if (isFit === this.#isFit) {
      return [];
    }
    this.#isFit = isFit;
    return [{ type: 'fitnessChanged', isFit }];
  }

  #isHeldByOther(): boolean {
    return this.#holder !== undefined && this.#holder !== this.#placement?.fencingNumber;
  }

  get #failureCount(): number {
    return this.#snapshot.context.failures;
  }

  #complete(): void {
    this.#transition({ type: 'done' });
    this.#order = undefined;
    this.#deadline = Infinity;
  }

  #discard(): void {
    this.#transition({ type: 'dropped' });
    this.#order = undefined;
    this.#deadline = Infinity;
  }

  #transition(event: OrderMachineEvent): void {
    [this.#snapshot] = transition(orderMachine, this.#snapshot, event);
  }
}
