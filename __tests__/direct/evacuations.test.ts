import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import {
  Evacuations,
  RequestPermits,
  TargetChooser,
  TargetLoads,
  UpstreamAvailability,
  type Target,
} from '../../src/dispatch/index.js';
import type { EngineGroup, EnginePhase, Instance, RoutedService } from '../../src/routing/index.js';
import { emptyRoutingView } from '../../src/watch/index.js';
import { createDocument } from '../routing/documents.js';

/** The grace period is 2 s of it. */
const limit = 5000;

function findService(name: string): RoutedService {
  const service = createDocument().services.find((each) => each.name === name);
  if (service === undefined) {
    throw new Error(`no service ${name}`);
  }
  return service;
}

/** A choice among one group and one instance in each of two domains. */
class Choice {
  readonly loads = new TargetLoads();
  readonly availability = new UpstreamAvailability();
  readonly evacuations = new Evacuations(limit);
  readonly instances = new Map<string, Instance>();
  readonly engineGroups = new Map<string, EngineGroup>();
  readonly chooser: TargetChooser;

  constructor() {
    for (const domain of ['a', 'b']) {
      this.addInstance(`desk-${domain}`, 'desk', domain);
      this.addGroup(domain);
    }
    this.chooser = new TargetChooser({
      readView: () => ({
        ...emptyRoutingView,
        instances: this.instances,
        engineGroups: this.engineGroups,
      }),
      loads: this.loads,
      availability: this.availability,
      permits: new RequestPermits(1, 0),
      evacuations: this.evacuations,
      random: createRandomSource(1),
    });
    this.#update([], 0);
  }

  addInstance(id: string, service: string, failureDomain: string): void {
    const address = `10.0.0.1:${this.instances.size + 1}`;
    this.instances.set(id, { id, service, address, failureDomain, isDraining: false });
  }

  addGroup(domain: string, phase: EnginePhase = 'open'): void {
    const id = `engine-${domain}`;
    this.addInstance(id, 'engines', domain);
    const members = [{ host: domain, instance: { id }, address: '10.0.0.2:1' }];
    const group = { name: domain, service: 'engines', model: 'small', members, fencingNumber: 1 };
    this.engineGroups.set(domain, { ...group, phase });
  }

  /** Announces the evacuations of the domains at this time, while control is heard. */
  evacuate(now: number, ...domains: readonly string[]): void {
    this.#update(domains, now);
  }

  choose(now: number, name = 'engines'): string {
    const service = findService(name);
    const model = name === 'engines' ? 'small' : undefined;
    const choice = this.chooser.choose({ service, model, tried: new Set() }, now);
    return choice.type === 'target' ? choice.target.key : choice.type;
  }

  /** Fills all slots of the group of a domain. */
  fill(domain: string): void {
    const load = { running: 24, waiting: 0, slots: 24 };
    this.loads.noteLoad(this.findTarget(domain), load, 0);
    this.loads.noteSent(this.findTarget(domain));
    this.loads.noteAnswered(this.findTarget(domain));
  }

  findTarget(key: string): Target {
    const targets = this.chooser.listTargets(findService('engines'), 'small');
    const target = targets.find((each) => each.key === key);
    if (target === undefined) {
      throw new Error(`no target ${key}`);
    }
    return target;
  }

  #update(domains: readonly string[], now: number): void {
    const evacuations = new Map(domains.map((domain) => [domain, {}]));
    this.evacuations.update({ evacuations, confirmedAt: now }, now);
  }
}

describe('the choice of an upstream during an evacuation', () => {
  // Guards against sending requests to a domain during the grace period although upstreams elsewhere have free slots.
  it('prefers other domains in the grace period', () => {
    const choice = new Choice();
    choice.evacuate(0, 'a');
    for (let count = 0; count < 10; count += 1) {
      expect(choice.choose(count)).toBe('b');
      expect(choice.choose(count, 'desk')).toBe('desk-b');
    }
  });

  // Guards against refusing callers in the grace period while the only free slots are in the evacuated domain.
  it('includes the domain in the grace period if the others are full', () => {
    const choice = new Choice();
    choice.evacuate(0, 'a');
    choice.fill('b');
    expect(choice.choose(1999)).toBe('a');
  });

  // Guards against requests that reach an evacuated domain because all other upstreams are full.
  it('excludes the domain once the evacuation is in effect', () => {
    const choice = new Choice();
    choice.evacuate(0, 'a');
    choice.fill('b');
    expect(choice.choose(2000)).toBe('full');
  });

  // Guards against requests in the grace period to a group that control has already drained.
  it('excludes a drained group in the grace period', () => {
    const choice = new Choice();
    choice.evacuate(0, 'a');
    choice.addGroup('a', 'draining');
    choice.fill('b');
    expect(choice.choose(100)).toBe('full');
  });

  // Guards against a domain that gets no requests after its evacuation has ended.
  it('includes the domain again after the end', () => {
    const choice = new Choice();
    choice.evacuate(0, 'a', 'b');
    expect(choice.choose(2000)).toBe('evacuated');
    choice.evacuate(3000, 'b');
    expect(choice.choose(3000)).toBe('a');
  });

  // Guards against an attempt that waits for a connection to an evacuated domain and is sent when it gets one.
  it('makes upstreams in the domain unavailable for attempts that are not sent', () => {
    const choice = new Choice();
    const target = choice.findTarget('a');
    choice.evacuate(0, 'a');
    expect(choice.chooser.isAvailable(target, 1999)).toBe(true);
    expect(choice.chooser.isAvailable(target, 2000)).toBe(false);
  });

  // Guards against moving the running requests of an evacuated domain, which would run them twice.
  it('keeps running requests at their upstream', () => {
    const choice = new Choice();
    const target = choice.findTarget('a');
    choice.evacuate(0, 'a');
    expect(choice.chooser.isStillServing(target)).toBe(true);
  });

  // Guards against a pause or a full upstream elsewhere that is reported as an evacuation.
  it.each([
    ['full', 'full'],
    ['paused', 'paused'],
  ])('is not "evacuated" while an upstream elsewhere is %s', (state, expected) => {
    const choice = new Choice();
    choice.evacuate(0, 'a');
    if (state === 'full') {
      choice.fill('b');
    } else {
      choice.availability.notePause('engine-b', 9000, 0);
    }
    expect(choice.choose(2000)).toBe(expected);
  });
});

describe('the evacuation of every domain with upstreams of a service', () => {
  // Guards against callers that wait for an upstream in vain, and against an answer that says nothing of the evacuation.
  it('leaves no choice for the service', () => {
    const choice = new Choice();
    choice.evacuate(0, 'a', 'b');
    expect(choice.choose(1999)).not.toBe('evacuated');
    expect(choice.choose(2000)).toBe('evacuated');
    expect(choice.choose(2000, 'desk')).toBe('evacuated');
  });

  // Guards against refusing requests at once while control forms a group of the engines in another domain.
  it('is not assumed while there are engines elsewhere', () => {
    const choice = new Choice();
    choice.engineGroups.delete('b');
    choice.evacuate(0, 'a');
    expect(choice.choose(2000)).toBe('none');
  });

  // Guards against "evacuated" for a service that has no upstreams at all.
  it('is not assumed for a service without upstreams', () => {
    const choice = new Choice();
    choice.evacuate(0, 'a', 'b');
    choice.instances.clear();
    choice.engineGroups.clear();
    expect(choice.choose(2000)).toBe('none');
  });
});
