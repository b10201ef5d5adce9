import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import type { Artifact } from '../../src/model/index.js';
import {
  defaultOrderOptions,
  OrderController,
  type EngineOrder,
  type OrderEffect,
  type OrderEvent,
  type OrderedPlacement,
} from '../../src/sidecar/orders/index.js';

const assist: Artifact = { model: 'assist', version: '1', adapters: [] };
const desk: Artifact = { model: 'desk', version: '1', adapters: [] };

function place(fencingNumber: number, artifact: Artifact): OrderedPlacement {
  const group = `${artifact.model}/1`;
  return { group, fencingNumber, artifact, role: { group, rank: 0, size: 2 } };
}

/** An engine that does at once what it is ordered, unless told to fail; it ignores fencing numbers. */
class Bench {
  readonly controller = new OrderController(defaultOrderOptions, createRandomSource(1));
  readonly orders: EngineOrder[] = [];
  readonly effects: OrderEffect[] = [];
  loaded: readonly Artifact[] = [];
  isFailing = false;
  now = 0;
  readonly #queue: OrderEvent[] = [];

  /** Effects are all taken before the first is carried out, as a shell does; what follows from them waits its turn. */
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
        this.#carryOut(effect.order);
      }
    }
  }

  announce(): void {
    const engine = { type: 'engine', loaded: this.loaded, checksFencingNumber: false } as const;
    this.handle({ type: 'engineChanged', now: this.now, engine });
  }

  place(placement: OrderedPlacement | undefined): void {
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

  #carryOut({ sequence, action }: EngineOrder): void {
    const outcome = this.isFailing ? 'failed' : 'accepted';
    this.handle({ type: 'orderAnswered', now: this.now, sequence, outcome });
    if (this.isFailing || action.type === 'changeRole') {
      return;
    }
    this.loaded = action.type === 'unload' ? [] : [action.artifact];
    this.announce();
  }
}

describe('orders to the engine', () => {
  it('loads what the placement offers, gives the engine its role, then is ready', () => {
    const bench = new Bench();
    bench.announce();
    bench.place(place(3, assist));
    expect(bench.actions).toEqual(['loadModel', 'changeRole']);
    expect(bench.orders.every(({ fencingNumber }) => fencingNumber === 3)).toBe(true);
    expect(bench.readiness).toEqual([[3, true]]);
  });

  it('changes version, adapters and model by the order for each', () => {
    const bench = new Bench();
    bench.loaded = [assist];
    bench.announce();
    bench.place(place(1, { ...assist, adapters: ['dairy'] }));
    bench.place(place(2, { ...assist, version: '2' }));
    bench.place(place(3, desk));
    const loads = bench.actions.filter((action) => action !== 'changeRole');
    expect(loads).toEqual(['loadAdapters', 'changeVersion', 'unload', 'loadModel']);
  });

  it('orders nothing while the lead of another placement may count on the engine', () => {
    const bench = new Bench();
    bench.loaded = [assist];
    bench.announce();
    bench.handle({ type: 'holderChanged', now: 0, holder: 1 });
    bench.place(place(2, desk));
    expect(bench.actions).toEqual([]);
    bench.handle({ type: 'holderChanged', now: 10, holder: undefined });
    expect(bench.actions).toEqual(['unload', 'loadModel', 'changeRole']);
  });

  it('does nothing for a placement that arrives late', () => {
    // Symptom: an engine unloads what its group serves. Sequence: a watch is resumed at another control host, which is behind
    // and tells of an older placement. Cause to keep out: taking the last placement heard for the newest.
    const bench = new Bench();
    bench.announce();
    bench.place(place(5, desk));
    const before = bench.orders.length;
    bench.place(place(4, assist));
    expect(bench.orders).toHaveLength(before);
    expect(bench.readiness).toEqual([[5, true]]);
  });

  it('holds an order back that became old on its way to an engine that checks nothing', () => {
    // Symptom: an engine loads the model of a placement that is over. Sequence: an order waits for a connection; meanwhile the
    // placement changes; the order leaves. Cause to keep out: a check when the order was made instead of when it leaves.
    const controller = new OrderController(defaultOrderOptions, createRandomSource(1));
    const engine = { type: 'engine', loaded: [], checksFencingNumber: false } as const;
    controller.handle({ type: 'engineChanged', now: 0, engine });
    const [send] = controller
      .handle({ type: 'placementChanged', now: 0, placement: place(1, assist) })
      .filter((effect) => effect.type === 'send');
    if (send === undefined) {
      throw new Error('nothing was ordered');
    }
    expect(controller.isCurrent(send.order)).toBe(true);
    controller.handle({ type: 'placementChanged', now: 1, placement: place(2, desk) });
    expect(controller.isCurrent(send.order)).toBe(false);
  });

  it('backs off after failures, says that the host is not fit, and recovers', () => {
    const bench = new Bench();
    bench.isFailing = true;
    bench.announce();
    bench.place(place(1, assist));
    for (let failure = 1; failure < 4; failure += 1) {
      const wake = bench.effects.filter((effect) => effect.type === 'wake').at(-1);
      bench.now = wake?.at ?? 0;
      bench.handle({ type: 'ticked', now: bench.now });
    }
    expect(bench.orders).toHaveLength(4);
    expect(bench.now).toBeGreaterThan(3500 * 0.5);
    bench.isFailing = false;
    const wake = bench.effects.filter((effect) => effect.type === 'wake').at(-1);
    bench.now = wake?.at ?? 0;
    bench.handle({ type: 'ticked', now: bench.now });
    const fitness = bench.effects.filter((effect) => effect.type === 'fitnessChanged');
    expect(fitness.map(({ isFit }) => isFit)).toEqual([false, true]);
    expect(bench.readiness).toEqual([[1, true]]);
  });

  it('stops when the engine refuses it for an old fencing number, until it learns of the newer placement', () => {
    const controller = new OrderController(defaultOrderOptions, createRandomSource(1));
    const engine = { type: 'engine', loaded: [], checksFencingNumber: true } as const;
    controller.handle({ type: 'engineChanged', now: 0, engine });
    controller.handle({ type: 'placementChanged', now: 0, placement: place(1, assist) });
    controller.handle({ type: 'orderAnswered', now: 1, sequence: 1, outcome: 'fenced' });
    const later = controller.handle({ type: 'ticked', now: 1_000_000 });
    expect(later.some(({ type }) => type === 'send')).toBe(false);
    const newer = controller.handle({
      type: 'placementChanged',
      now: 2,
      placement: place(2, desk),
    });
    expect(newer.some(({ type }) => type === 'send')).toBe(true);
  });
});
