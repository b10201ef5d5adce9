import { describe, expect, it } from 'vitest';

import { createRandomSource } from '../../src/common/index.js';
import {
  RequestPermits,
  TargetChooser,
  TargetLoads,
  UpstreamAvailability,
  type Target,
} from '../../src/dispatch/index.js';
import type { EngineGroup, EnginePhase } from '../../src/routing/index.js';
import { emptyRoutingView } from '../../src/watch/index.js';
import { createDocument } from '../routing/documents.js';

const [engines, desk] = createDocument().services;

function createGroup(name: string, phase: EnginePhase = 'open'): [string, EngineGroup] {
  const members = [{ host: name, instance: { id: `i-${name}` }, address: '10.0.0.1:1' }];
  const group = { name, service: 'engines', model: 'small', members, fencingNumber: 1 };
  return [name, { ...group, phase }];
}

function createInstance(id: string, isDraining = false) {
  const instance = { id, service: 'desk', address: `10.0.0.2:${id.length}`, failureDomain: 'a' };
  return [id, { ...instance, isDraining }] as const;
}

function createChooser(permits = new RequestPermits(1, 0)) {
  const loads = new TargetLoads();
  const view = {
    ...emptyRoutingView,
    engineGroups: new Map([
      createGroup('small/1'),
      createGroup('small/2'),
      createGroup('small/3', 'draining'),
      createGroup('small/4', 'closing'),
    ]),
    instances: new Map([createInstance('a'), createInstance('bb'), createInstance('ccc', true)]),
  };
  const availability = new UpstreamAvailability();
  const random = createRandomSource(1);
  const options = { readView: () => view, loads, availability, permits, random };
  const chooser = new TargetChooser(options);
  const choose = (tried: readonly string[] = [], now = 0, isUrgent = false): string => {
    if (engines === undefined) {
      throw new Error('the document has no service');
    }
    const question = { service: engines, model: 'small', tried: new Set(tried), isUrgent };
    const choice = chooser.choose(question, now);
    return choice.type === 'target' ? choice.target.key : choice.type;
  };
  return { loads, availability, permits, chooser, choose, view };
}

function findTarget(chooser: TargetChooser, key: string): Target {
  const target = engines && chooser.listTargets(engines, 'small').find((each) => each.key === key);
  if (target === undefined) {
    throw new Error(`no target ${key}`);
  }
  return target;
}

describe('the choice of an upstream', () => {
  // Guards against requests that wait at a cold upstream while a warm one is nearly idle, and against a cold one that is never used.
  it('prefers a warm upstream to a cold one until it is busier', () => {
    const permits = new RequestPermits(1, 0, { overrun: 1.5, slack: 5 });
    const { chooser, loads, choose } = createChooser(permits);
    const profile = { duration: 3000, requestsPerSecond: 32 };
    permits.listStarts(new Map([['i-small/1', profile]]), 0);
    const rates = new Map([['i-small/1', 32]]);
    const cold = { term: 1, number: 1, gateways: 1, rates, notices: [] };
    permits.applyGrant({ limits: [], permits: new Map(), cold }, 1100, 1100);
    const warm = findTarget(chooser, 'small/2');
    loads.noteLoad(warm, { running: 1, waiting: 0, slots: 10 }, 1200);
    expect(choose([], 1200)).toBe('small/2');
    loads.noteLoad(warm, { running: 4, waiting: 0, slots: 10 }, 1210);
    expect(choose([], 1210)).toBe('small/1');
  });

  // Guards against choosing a rate-limited upstream as the least loaded one without a permit.
  it('excludes a rate-limited upstream without a permit', () => {
    const { permits, choose } = createChooser();
    permits.noteAnswer('i-small/1', 2, 0, 0);
    expect(choose([], 10)).toBe('small/2');
    expect(choose(['small/2'], 10)).toBe('full');
    permits.applyGrant({ limits: [], permits: new Map([['i-small/1', 1]]) }, 20, 20);
    expect(choose(['small/2'], 30)).toBe('small/1');
    permits.noteSent('i-small/1', 30);
    expect(choose(['small/2'], 40)).toBe('full');
    expect(choose(['small/2'], 40, true)).toBe('full');
  });

  // Guards against choosing an upstream in the pause it asked for, also for requests that any upstream is good enough for.
  it('excludes an upstream that asked for a pause, until the pause is over', () => {
    const { availability, choose } = createChooser();
    availability.notePause('i-small/1', 3000, 0);
    availability.notePause('i-small/1', 1000, 500);
    expect(choose([], 600)).toBe('small/2');
    expect(choose(['small/2'], 2999)).toBe('paused');
    expect(choose(['small/2'], 2999, true)).toBe('paused');
    expect(choose(['small/2'], 3000)).toBe('small/1');
  });

  // Guards against sending requests to an upstream that is shutting down until control says so too.
  it('excludes an upstream that is leaving, for good', () => {
    const { availability, choose } = createChooser();
    availability.noteLeaving('i-small/1');
    expect(choose()).toBe('small/2');
    expect(choose(['small/2'], 1e6, true)).toBe('none');
    availability.notePause('i-small/2', 3000, 0);
    expect(choose([], 10)).toBe('paused');
  });

  // Guards against rejecting requests for the pause of one group while another group of the model is about to open.
  it('is "paused" only if no other group can serve soon', () => {
    const { availability, loads, chooser, choose, view } = createChooser();
    availability.notePause('i-small/1', 3000, 0);
    expect(choose(['small/2'])).toBe('paused');
    expect(choose(['small/1', 'small/2'])).toBe('none');
    loads.noteClosed(findTarget(chooser, 'small/2'), 0);
    expect(choose()).toBe('none');
    loads.noteReopening({ key: 'small/2' });
    availability.notePause('i-small/2', 2000, 0);
    expect(choose()).toBe('paused');
    view.engineGroups.set(...createGroup('small/5', 'opening'));
    expect(choose()).toBe('none');
  });

  it('is among open groups of the model only', () => {
    const { choose } = createChooser();
    expect(choose(['small/1'])).toBe('small/2');
    expect(choose(['small/1', 'small/2'])).toBe('none');
  });

  it('is the least loaded by own requests and reported load', () => {
    const { loads, chooser, choose } = createChooser();
    loads.noteSent(findTarget(chooser, 'small/1'));
    expect(choose()).toBe('small/2');
    loads.noteAnswered(findTarget(chooser, 'small/1'));
    loads.noteLoad(findTarget(chooser, 'small/2'), { running: 9, waiting: 0, slots: 24 }, 0);
    expect(choose()).toBe('small/1');
    // The reported load counts until the next report.
    expect(choose([], 5000)).toBe('small/1');
    loads.noteLoad(findTarget(chooser, 'small/2'), { running: 0, waiting: 0, slots: 24 }, 5000);
    expect(choose([], 5000)).toBe('small/2');
  });

  it('excludes a group whose slots are all in use', () => {
    const { loads, chooser, choose } = createChooser();
    for (const key of ['small/1', 'small/2']) {
      for (let request = 0; request < 24; request += 1) {
        loads.noteSent(findTarget(chooser, key));
        loads.noteAnswered(findTarget(chooser, key));
      }
      loads.noteLoad(findTarget(chooser, key), { running: 24, waiting: 0, slots: 24 }, 0);
    }
    expect(choose()).toBe('full');
    loads.noteDone(findTarget(chooser, 'small/2'), true);
    expect(choose()).toBe('small/2');
  });

  // Guards against late responses in a burst: a gateway without a recent report of a head sent it all waiting requests. Also guards against
  // late responses for seconds after a restart of all processes: each gateway assumed that groups without a report were empty, and sent them
  // all waiting requests.
  it('is a group without a report for one request, until its response reports the load', () => {
    const { loads, chooser, choose } = createChooser();
    const target = findTarget(chooser, 'small/1');
    loads.noteSent(target);
    expect(choose(['small/2'])).toBe('full');
    loads.noteAnswered(target);
    loads.noteLoad(target, { running: 9, waiting: 0, slots: 24 }, 0);
    loads.noteSent(target);
    expect(choose(['small/2'])).toBe('small/1');
  });

  it('is a group that responds without reporting its load, up to its slots', () => {
    const { loads, chooser, choose } = createChooser();
    const target = findTarget(chooser, 'small/1');
    loads.noteSent(target);
    loads.noteAnswered(target);
    for (let request = 1; request < 24; request += 1) {
      expect(choose(['small/2'])).toBe('small/1');
      loads.noteSent(target);
      loads.noteAnswered(target);
    }
    expect(choose(['small/2'])).toBe('full');
    expect(choose(['small/2'], 5000)).toBe('full');
  });

  it('is a group that was full at its last report, for one request after a while', () => {
    const { loads, chooser, choose } = createChooser();
    const target = findTarget(chooser, 'small/1');
    loads.noteLoad(target, { running: 24, waiting: 9, slots: 24 }, 0);
    expect(choose(['small/2'])).toBe('full');
    expect(choose(['small/2'], 5000)).toBe('small/1');
    loads.noteSent(target);
    expect(choose(['small/2'], 5000)).toBe('full');
    loads.noteAnswered(target);
    loads.noteLoad(target, { running: 20, waiting: 0, slots: 24 }, 5100);
    expect(choose(['small/2'], 5100)).toBe('small/1');
  });

  // Guards against a request of a stalled head that waits until its caller leaves while other heads work: all of them were full, and the
  // request was treated as a new one.
  it('is a full upstream rather than none for a request that has waited at another', () => {
    const { loads, chooser } = createChooser();
    for (const [key, running] of [
      ['small/1', 30],
      ['small/2', 25],
    ] as const) {
      loads.noteLoad(findTarget(chooser, key), { running, waiting: 0, slots: 24 }, 0);
    }
    if (engines === undefined) {
      throw new Error('the document has no service');
    }
    const question = { service: engines, model: 'small', tried: new Set<string>() };
    expect(chooser.choose(question, 0)).toEqual({ type: 'full' });
    const target = { key: 'small/2' };
    expect(chooser.choose({ ...question, isUrgent: true }, 0)).toMatchObject({ target });
  });

  it('avoids an upstream that has just failed while there is another', () => {
    const { loads, chooser, choose } = createChooser();
    loads.suspect(findTarget(chooser, 'small/1'), 0);
    expect(choose()).toBe('small/2');
    expect(choose(['small/2'])).toBe('small/1');
  });

  it('excludes a draining instance', () => {
    const { chooser } = createChooser();
    const names = desk && chooser.listTargets(desk, undefined).map(({ key }) => key);
    expect(names).toEqual(['a', 'bb']);
  });

  /**
   * Guards against a restarted instance that gets no requests for a while, because the load and the recent failure of its previous start
   * were attributed to it.
   */
  it('ignores the load and failures of an earlier start of an instance', () => {
    const loads = new TargetLoads();
    let startedAt = 1000;
    const read = () => {
      const [id, instance] = createInstance('a');
      return { ...emptyRoutingView, instances: new Map([[id, { ...instance, startedAt }]]) };
    };
    const random = createRandomSource(1);
    const chooser = new TargetChooser({
      readView: read,
      loads,
      availability: new UpstreamAvailability(),
      permits: new RequestPermits(1, 0),
      random,
    });
    const before = desk && chooser.listTargets(desk, undefined)[0];
    startedAt = 2000;
    const after = desk && chooser.listTargets(desk, undefined)[0];
    if (before === undefined || after === undefined) {
      throw new Error('no target');
    }
    loads.noteLoad(before, { running: 6, waiting: 9, slots: 6 }, 0);
    loads.suspect(before, 0);
    expect(loads.utilization(after, 0)).toBe(0);
    expect(loads.isSuspected(after, 0)).toBe(false);
    expect(chooser.isStillServing(before)).toBe(false);
    expect(chooser.isStillServing(after)).toBe(true);
  });

  it('keeps requests at draining groups, but not at closing or removed ones', () => {
    const { chooser } = createChooser();
    const target = findTarget(chooser, 'small/1');
    expect(chooser.isStillServing({ ...target, key: 'small/3' })).toBe(true);
    expect(chooser.isStillServing({ ...target, key: 'small/4' })).toBe(false);
    expect(chooser.isStillServing({ ...target, key: 'small/9' })).toBe(false);
  });

  /** Guards against requests that are sent one after the other to a group that is gone after all hosts restarted, until the retry budget is spent. */
  it('gives a group whose head does not serve it no requests until control has heard of it', () => {
    const { loads, choose } = createChooser();
    loads.noteClosed({ key: 'small/1' }, 0);
    expect(choose()).toBe('small/2');
    loads.noteClosed({ key: 'small/2' }, 0);
    expect(choose()).toBe('none');
    expect(choose([], 1000, true)).toBe('none');
    loads.noteReopening({ key: 'small/1' });
    expect(choose([], 1000)).toBe('small/1');
    expect(choose(['small/1'], 5000)).toBe('small/2');
  });

  /** Guards against a second wave of requests to a group that is gone, once the first answer that it is gone has expired. */
  it('probes such a group with one request', () => {
    const { loads, chooser, choose } = createChooser();
    const target = findTarget(chooser, 'small/1');
    loads.noteSent(target);
    loads.noteAnswered(target);
    loads.noteClosed(target, 0);
    loads.noteDone(target, true);
    expect(choose(['small/2'], 5000)).toBe('small/1');
    loads.noteSent(target);
    expect(choose(['small/2'], 5000)).toBe('full');
  });
});
