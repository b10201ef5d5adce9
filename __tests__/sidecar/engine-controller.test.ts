import { describe, expect, it } from 'vitest';

import type { EngineGroup, EngineMembership, EngineReading } from '../../src/routing/index.js';
import { EngineController, type EngineOrder } from '../../src/sidecar/index.js';

const group: EngineGroup = {
  name: 'small/1',
  fencingNumber: 3,
  service: 'engines',
  model: 'small',
  members: [
    { host: 'head', instance: { id: 'i-head' }, address: '10.0.0.1:80' },
    { host: 'other', instance: { id: 'i-other' }, address: '10.0.0.2:80' },
  ],
  phase: 'joining',
};

function read(
  state?: EngineMembership['state'],
  changes: Partial<EngineReading> = {},
  now = 0,
): { readonly type: 'read'; readonly now: number; readonly reading: EngineReading } {
  const membership =
    state === undefined ? {} : { membership: { group: 'small/1', fencingNumber: 3, state } };
  const reading = {
    instance: { id: 'i-head' },
    fabricDomain: 'd',
    staged: [],
    isBusy: false,
    running: 0,
    waiting: 0,
    slowdown: 1,
    ...membership,
    ...changes,
  };
  return { type: 'read', now, reading };
}

function decide(phase: EngineGroup['phase'], event: ReturnType<typeof read>, host = 'head') {
  const controller = new EngineController(host);
  controller.handle({ type: 'assigned', group: { ...group, phase } });
  return controller.handle(event)?.type;
}

describe('engine controller orders', () => {
  it('joins with all members, the head first', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'assigned', group });
    expect(controller.handle(read())).toEqual<EngineOrder>({
      type: 'join',
      group: 'small/1',
      fencingNumber: 3,
      model: 'small',
      members: ['i-head', 'i-other'],
    });
  });

  it('resends an order only after the resend interval without visible effect', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'assigned', group });
    expect(controller.handle(read())).toBeDefined();
    expect(controller.handle(read(undefined, {}, 100))).toBeUndefined();
    expect(controller.handle(read(undefined, {}, 500))).toBeDefined();
  });

  it('opens only the head, and only when it is ready', () => {
    expect(decide('opening', read('ready'))).toBe('open');
    expect(decide('opening', read('joining'))).toBeUndefined();
    expect(
      decide('opening', read('ready', { instance: { id: 'i-other' } }), 'other'),
    ).toBeUndefined();
  });

  /**
   * Guards against one engine in two groups: an open order that was delayed for seconds could reopen a closed head after its
   * members have joined other groups.
   */
  it('closes the head and then leaves, so that no delayed order reopens it', () => {
    expect(decide('closing', read('open'))).toBe('close');
    expect(decide('closing', read('ready'))).toBe('leave');
    expect(decide('closing', read('broken'))).toBe('leave');
    expect(
      decide('closing', read('ready', { instance: { id: 'i-other' } }), 'other'),
    ).toBeUndefined();
  });

  // Guards against one engine in two groups, if it serves a group that control has removed.
  it('closes another group that the engine serves before it joins', () => {
    function decideWith(state: EngineMembership['state']) {
      const membership = { group: 'small/0', fencingNumber: 2, state };
      return decide('joining', read(undefined, { membership }));
    }
    expect(decideWith('open')).toBe('close');
    expect(decideWith('closing')).toBeUndefined();
    expect(decideWith('ready')).toBe('join');
    expect(decideWith('broken')).toBe('join');
  });

  it('sends no order for a group placed on an earlier engine instance', () => {
    expect(decide('joining', read(undefined, { instance: { id: 'i-restarted' } }))).toBeUndefined();
    expect(decide('closing', read('open', { instance: { id: 'i-restarted' } }))).toBeUndefined();
  });

  it('stages the requested model while the engine is not busy', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'stagingWanted', model: 'large' });
    expect(controller.handle(read(undefined, { isBusy: true }))).toBeUndefined();
    expect(controller.handle(read())).toEqual({ type: 'stage', model: 'large' });
    expect(controller.handle(read(undefined, { staged: ['large'] }, 1000))).toBeUndefined();
  });

  it('keeps the model of the last group until the engine instance changes', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'assigned', group });
    controller.handle(read('joining'));
    expect(controller.lastModel).toBeUndefined();
    controller.handle(read('ready'));
    expect(controller.lastModel).toBe('small');
    controller.handle(read(undefined, { instance: { id: 'i-restarted' } }));
    expect(controller.lastModel).toBeUndefined();
  });

  it('treats an engine that restarted under the same id as a new instance', () => {
    const started = { id: 'i-head', startedAt: 1000 };
    const members = [{ host: 'head', instance: started, address: '10.0.0.1:80' }];
    const controller = new EngineController('head');
    controller.handle({ type: 'assigned', group: { ...group, members } });
    controller.handle(read('ready', { instance: started }));
    expect(controller.lastModel).toBe('small');
    const again = { id: 'i-head', startedAt: 2000 };
    expect(controller.handle(read(undefined, { instance: again }, 1000))).toBeUndefined();
    expect(controller.lastModel).toBeUndefined();
  });

  /**
   * Guards against dissolving a serving group: one response of a member's engine was corrupted in transit, and the sidecar reported
   * the engine as gone.
   */
  it('keeps the last reading for 3 s while responses are unreadable', () => {
    const controller = new EngineController('head');
    controller.handle(read('open'));
    controller.handle({ type: 'unreadable', now: 3000 });
    expect(controller.reading?.membership?.state).toBe('open');
    controller.handle({ type: 'unreadable', now: 3001 });
    expect(controller.reading).toBeUndefined();
  });
});

/**
 * Guards against giving up a serving group: its engines were freed while its head was still open, because one status request got no
 * response or the liveness check found no free slot. The controller used one event for these cases and for a terminated engine.
 */
describe('reason for a missing reading', () => {
  it('is notAsked before the first status request completes', () => {
    expect(new EngineController('head').absence).toBe('notAsked');
  });

  it('becomes silent only after 500 ms of unanswered status requests', () => {
    const controller = new EngineController('head');
    controller.handle(read('open'));
    controller.handle({ type: 'unanswered', now: 1000 });
    expect(controller.absence).toBe('unanswered');
    controller.handle({ type: 'unanswered', now: 1499 });
    expect(controller.absence).toBe('unanswered');
    controller.handle({ type: 'unanswered', now: 1500 });
    expect(controller.absence).toBe('silent');
    controller.handle(read('open', {}, 1600));
    expect(controller.absence).toBeUndefined();
    controller.handle({ type: 'unanswered', now: 1700 });
    expect(controller.absence).toBe('unanswered');
  });

  it('is notIdentified while the instance id is unknown', () => {
    const controller = new EngineController('head');
    controller.handle(read('open'));
    controller.handle({ type: 'notIdentified' });
    expect(controller.absence).toBe('notIdentified');
    expect(controller.reading).toBeUndefined();
  });

  it('keeps the model of the last group unless the engine has terminated', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'assigned', group });
    controller.handle(read('ready'));
    controller.handle({ type: 'unanswered', now: 100 });
    controller.handle(read(undefined, {}, 200));
    expect(controller.lastModel).toBe('small');
    controller.handle({ type: 'refused' });
    controller.handle(read(undefined, {}, 300));
    expect(controller.lastModel).toBeUndefined();
  });
});
