import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import type { Artifact } from '../../src/model/index.js';
import {
  defaultOrderOptions,
  OrderController,
  type EngineOrder,
  type OrderEffect,
  type OrderEvent,
  type DesiredPlacement,
} from '../../src/sidecar/orders/index.js';

const assist: Artifact = { model: 'assist', version: '1', adapters: [] };
const desk: Artifact = { model: 'desk', version: '1', adapters: [] };

function createPlacement(fencingNumber: number, artifact: Artifact): DesiredPlacement {
  const group = `${artifact.model}/1`;
  return { group, fencingNumber, artifact, role: { group, rank: 0, size: 2 } };
}

/** Simulates an engine that executes orders at once, or fails them if told to. It ignores fencing numbers. */
class OrderHarness {
  readonly controller = new OrderController(defaultOrderOptions, createRandomSource(1));
  readonly orders: EngineOrder[] = [];
  readonly effects: OrderEffect[] = [];
  loaded: readonly Artifact[] = [];
  isFailing = false;
  now = 0;
  readonly #queue: OrderEvent[] = [];

  /** Applies all effects of one event before handling the next; events that the effects cause are queued. */
  handle(event: OrderEvent): void {
    this.#queue.push(event);
    if (this.#queue.length > 1) {
      return;
    }
    for (let next = this.#queue[0]; next !== undefined; next = this.#queue[0]) {
      this.#step(next);
      this.#queue.shift();
    }
  }

  #step(event: OrderEvent): void {
    for (const effect of this.controller.handle(event)) {
      this.effects.push(effect);
      if (effect.type === 'send') {
        this.orders.push(effect.order);
        this.#execute(effect.order);
      }
    }
  }

  announce(): void {
    const engine = { type: 'engine', loaded: this.loaded, checksFencingNumber: false } as const;
    this.handle({ type: 'engineChanged', now: this.now, engine });
  }

  setPlacement(placement: DesiredPlacement | undefined): void {
    this.handle({ type: 'placementChanged', now: this.now, placement });
  }

  get actions(): readonly string[] {
    return this.orders.map(({ action }) => action.type);
  }

  get readiness(): readonly (readonly [number, boolean])[] {
    return this.effects.flatMap((effect) =>
      effect.type === 'readinessChanged' ? [[effect.fencingNumber, effect.isReady] as const] : [],
    );
  }

  #execute({ sequence, action }: EngineOrder): void {
    const outcome = this.isFailing ? 'failed' : 'accepted';
    this.handle({ type: 'orderAnswered', now: this.now, sequence, outcome });
    if (this.isFailing || action.type === 'changeRole') {
      return;
    }
    this.loaded = action.type === 'unload' ? [] : [action.artifact];
    this.announce();
  }
}

describe('order controller', () => {
  it('loads the artifact of the placement, assigns the role, then reports ready', () => {
    const harness = new OrderHarness();
    harness.announce();
    harness.setPlacement(createPlacement(3, assist));
    expect(harness.actions).toEqual(['loadModel', 'changeRole']);
    expect(harness.orders.every(({ fencingNumber }) => fencingNumber === 3)).toBe(true);
    expect(harness.readiness).toEqual([[3, true]]);
  });

  it('uses a separate order to change version, adapters or model', () => {
    const harness = new OrderHarness();
    harness.loaded = [assist];
    harness.announce();
    harness.setPlacement(createPlacement(1, { ...assist, adapters: ['dairy'] }));
    harness.setPlacement(createPlacement(2, { ...assist, version: '2' }));
    harness.setPlacement(createPlacement(3, desk));
    const loads = harness.actions.filter((action) => action !== 'changeRole');
    expect(loads).toEqual(['loadAdapters', 'changeVersion', 'unload', 'loadModel']);
  });

  it('sends no order while the lead of another placement may hold a lease on the host', () => {
    const harness = new OrderHarness();
    harness.loaded = [assist];
    harness.announce();
    harness.handle({ type: 'holderChanged', now: 0, holder: 1 });
    harness.setPlacement(createPlacement(2, desk));
    expect(harness.actions).toEqual([]);
    harness.handle({ type: 'holderChanged', now: 10, holder: undefined });
    expect(harness.actions).toEqual(['unload', 'loadModel', 'changeRole']);
  });

  it('ignores an outdated placement that arrives late', () => {
    // Guards against unloading the artifact that the group serves: a watch resumes at another control host that lags behind and
    // sends an older placement. Treating the last placement received as the newest would cause this.
    const harness = new OrderHarness();
    harness.announce();
    harness.setPlacement(createPlacement(5, desk));
    const before = harness.orders.length;
    harness.setPlacement(createPlacement(4, assist));
    expect(harness.orders).toHaveLength(before);
    expect(harness.readiness).toEqual([[5, true]]);
  });

  it('does not send an order that became outdated before it left, if the engine ignores fencing numbers', () => {
    // Guards against loading the model of an outdated placement: an order waits for a connection while the placement changes, and
    // is sent afterwards. Checking the order when it is created instead of when it is sent would cause this.
    const controller = new OrderController(defaultOrderOptions, createRandomSource(1));
    const engine = { type: 'engine', loaded: [], checksFencingNumber: false } as const;
    controller.handle({ type: 'engineChanged', now: 0, engine });
    const [send] = controller
      .handle({ type: 'placementChanged', now: 0, placement: createPlacement(1, assist) })
      .filter((effect) => effect.type === 'send');
    if (send === undefined) {
      throw new Error('no order was sent');
    }
    expect(controller.isCurrent(send.order)).toBe(true);
    controller.handle({ type: 'placementChanged', now: 1, placement: createPlacement(2, desk) });
    expect(controller.isCurrent(send.order)).toBe(false);
  });

  it('backs off after failures, reports the host as unfit, and recovers', () => {
    const harness = new OrderHarness();
    harness.isFailing = true;
    harness.announce();
    harness.setPlacement(createPlacement(1, assist));
    for (let failure = 1; failure < 4; failure += 1) {
      const wake = harness.effects.filter((effect) => effect.type === 'wake').at(-1);
      harness.now = wake?.at ?? 0;
      harness.handle({ type: 'ticked', now: harness.now });
    }
    expect(harness.orders).toHaveLength(4);
    expect(harness.now).toBeGreaterThan(3500 * 0.5);
    harness.isFailing = false;
    const wake = harness.effects.filter((effect) => effect.type === 'wake').at(-1);
    harness.now = wake?.at ?? 0;
    harness.handle({ type: 'ticked', now: harness.now });
    const fitness = harness.effects.filter((effect) => effect.type === 'fitnessChanged');
    expect(fitness.map(({ isFit }) => isFit)).toEqual([false, true]);
    expect(harness.readiness).toEqual([[1, true]]);
  });

  it('sends nothing after a fenced order until the newer placement arrives', () => {
    const controller = new OrderController(defaultOrderOptions, createRandomSource(1));
    const engine = { type: 'engine', loaded: [], checksFencingNumber: true } as const;
    controller.handle({ type: 'engineChanged', now: 0, engine });
    controller.handle({ type: 'placementChanged', now: 0, placement: createPlacement(1, assist) });
    controller.handle({ type: 'orderAnswered', now: 1, sequence: 1, outcome: 'fenced' });
    const later = controller.handle({ type: 'ticked', now: 1_000_000 });
    expect(later.some(({ type }) => type === 'send')).toBe(false);
    const newer = controller.handle({
      type: 'placementChanged',
      now: 2,
      placement: createPlacement(2, desk),
    });
    expect(newer.some(({ type }) => type === 'send')).toBe(true);
  });
});
