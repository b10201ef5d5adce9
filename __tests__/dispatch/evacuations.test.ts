import { describe, expect, it } from 'vitest';

import { Evacuations, type EvacuationChanges } from '../../src/dispatch/index.js';
import { RoutingStateTracker, type RoutingEvent } from '../../src/watch/index.js';
import { createDocument } from '../routing/documents.js';

/** Time from the acknowledgement until no request may reach the domain; the grace period is 2 s of it. */
const limit = 5000;

/** A gateway and the events of its watch. */
class Gateway {
  readonly evacuations = new Evacuations(limit);
  readonly #tracker = new RoutingStateTracker();
  #index = 0;
  #version = 0;

  /** Opens a watch at another control host, whose complete state has these evacuations, and receives its first status message. */
  connect(now: number, ...domains: readonly string[]): void {
    this.beginConnection(now);
    this.#index += 1;
    const index = this.#index;
    for (const failureDomain of domains) {
      this.#handle({ type: 'evacuation', index, evacuation: { failureDomain, startedAt: 0 } }, now);
    }
    this.#handle({ type: 'synchronized', index, version: this.#version }, now);
    this.confirm(now);
  }

  beginConnection(now: number): void {
    this.#handle({ type: 'connected' }, now);
  }

  start(now: number, failureDomain: string): EvacuationChanges {
    this.#index += 1;
    const evacuation = { failureDomain, startedAt: 0 };
    return this.#handle({ type: 'evacuation', index: this.#index, evacuation }, now);
  }

  end(now: number, failureDomain: string): EvacuationChanges {
    this.#index += 1;
    return this.#handle({ type: 'evacuationEnded', index: this.#index, failureDomain }, now);
  }

  putDocument(now: number, version: number): void {
    this.#version = version;
    this.#handle({ type: 'document', document: createDocument({ version }) }, now);
  }

  confirm(now: number, leader = '10.0.0.1:1'): void {
    this.#handle({ type: 'sign', now, isFresh: true, leader, voters: [] }, now);
  }

  standing(now: number, failureDomain = 'a'): string {
    return this.evacuations.standingOf(failureDomain, now);
  }

  #handle(event: RoutingEvent, now: number): EvacuationChanges {
    const verdict = this.#tracker.handle(event);
    return verdict === 'changed'
      ? this.evacuations.update(this.#tracker.read(), now)
      : { began: [], ended: [] };
  }
}

function createGateway(now = 0): Gateway {
  const gateway = new Gateway();
  gateway.connect(now);
  return gateway;
}

describe('evacuations at a gateway', () => {
  // Guards against callers that are refused while the control plane still moves groups to other domains, and against requests after the limit.
  it('take effect after the grace period when they are announced', () => {
    const gateway = createGateway();
    expect(gateway.start(100, 'a')).toEqual({
      began: [{ failureDomain: 'a', effectAt: 2100 }],
      ended: [],
    });
    expect(gateway.standing(2099)).toBe('closing');
    expect(gateway.standing(2100)).toBe('evacuated');
    expect(gateway.standing(2100, 'b')).toBe('open');
    expect(gateway.evacuations.standingOf(undefined, 2100)).toBe('open');
  });

  // Guards against a restarted gateway that sends requests to a domain for a grace period although its evacuation was acknowledged long ago.
  it('take effect at once when they are part of the first state', () => {
    const gateway = new Gateway();
    gateway.connect(100, 'a');
    expect(gateway.standing(100)).toBe('evacuated');
  });

  // Guards against a grace period that begins anew with each watch, so that a gateway on an unstable link never stops sending.
  it('keep their time when the gateway connects to another control host', () => {
    const gateway = createGateway();
    gateway.start(100, 'a');
    gateway.connect(1500, 'a');
    expect(gateway.standing(2099)).toBe('closing');
    gateway.connect(2050, 'a');
    expect(gateway.standing(2100)).toBe('evacuated');
  });

  // Guards against an evacuation that is taken for ended while a new watch has sent only a part of its state.
  it('stay in effect until the state of another control host is complete', () => {
    const gateway = new Gateway();
    gateway.connect(0, 'a');
    gateway.beginConnection(10);
    gateway.putDocument(10, 3);
    expect(gateway.standing(10)).toBe('evacuated');
    const started = new Gateway();
    started.beginConnection(0);
    started.putDocument(0, 3);
    expect(started.evacuations.size).toBe(0);
    started.connect(10, 'a');
    expect(started.standing(10)).toBe('evacuated');
  });

  // Guards against requests after the limit from a gateway that was cut off when the evacuation was acknowledged and learns of it late.
  it('take effect earlier the longer control has not confirmed the state before', () => {
    const gateway = createGateway();
    gateway.confirm(1000);
    gateway.connect(3500, 'a');
    expect(gateway.standing(3999)).toBe('closing');
    expect(gateway.standing(4000)).toBe('evacuated');
    const late = createGateway();
    late.confirm(1000);
    late.connect(9000, 'a');
    expect(late.standing(9000)).toBe('evacuated');
  });

  // Guards against a new leader whose announcement starts the grace period again, or ends the evacuation.
  it('keep their time when control has a new leader', () => {
    const gateway = createGateway();
    gateway.start(100, 'a');
    gateway.confirm(1000, '10.0.0.2:1');
    expect(gateway.standing(2099)).toBe('closing');
    expect(gateway.standing(2100)).toBe('evacuated');
  });

  // Guards against an evacuation that is lost, or delayed, because a document takes effect at the same moment.
  it('keep their time when the configuration changes at the same moment', () => {
    const gateway = createGateway();
    gateway.putDocument(100, 1);
    gateway.start(100, 'a');
    gateway.putDocument(100, 2);
    gateway.putDocument(2000, 3);
    expect(gateway.standing(2099)).toBe('closing');
    expect(gateway.standing(2100)).toBe('evacuated');
  });

  // Guards against a domain that stays without requests after its evacuation ended, and against a second one that has no grace period.
  it('are over at once when they end, and begin anew with the next start', () => {
    const gateway = createGateway();
    gateway.start(100, 'a');
    expect(gateway.end(4000, 'a')).toEqual({ began: [], ended: ['a'] });
    expect(gateway.standing(4000)).toBe('open');
    gateway.confirm(9000);
    gateway.start(9000, 'a');
    expect(gateway.standing(10_999)).toBe('closing');
    expect(gateway.standing(11_000)).toBe('evacuated');
  });

  // Guards against one domain's time being applied to another, and against a timer that misses the second of two evacuations.
  it('of several domains take effect at their own times', () => {
    const gateway = createGateway();
    gateway.start(100, 'a');
    gateway.confirm(500);
    gateway.start(600, 'b');
    const { evacuations } = gateway;
    expect(evacuations.nextEffectAfter(600)).toBe(2100);
    expect(evacuations.listEvacuated(2100)).toEqual(['a']);
    expect(evacuations.nextEffectAfter(2100)).toBe(2600);
    expect(evacuations.listEvacuated(2600)).toEqual(['a', 'b']);
    expect(evacuations.nextEffectAfter(2600)).toBeUndefined();
  });

  // Guards against requests after the acknowledgement at a gateway whose settings have no limit.
  it('take effect at once without a limit in the settings', () => {
    const evacuations = new Evacuations(0);
    evacuations.update({ evacuations: new Map(), confirmedAt: 0 }, 0);
    const known = { evacuations: new Map([['a', {}]]), confirmedAt: 100 };
    evacuations.update(known, 100);
    expect(evacuations.standingOf('a', 100)).toBe('evacuated');
  });
});
