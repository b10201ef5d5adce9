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

describe('orders to the engine beside a sidecar', () => {
  it('join with all members, the head first', () => {
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

  it('are repeated only when their effect does not show for a while', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'assigned', group });
    expect(controller.handle(read())).toBeDefined();
    expect(controller.handle(read(undefined, {}, 100))).toBeUndefined();
    expect(controller.handle(read(undefined, {}, 500))).toBeDefined();
  });

  it('open the head only, and only when it is ready', () => {
    expect(decide('opening', read('ready'))).toBe('open');
    expect(decide('opening', read('joining'))).toBeUndefined();
    expect(
      decide('opening', read('ready', { instance: { id: 'i-other' } }), 'other'),
    ).toBeUndefined();
  });

  /**
   * Symptom: two groups with one engine. A head that was closed is opened again by an order that was lost on its way seconds
   * ago, after its members have gone to other groups.
   */
  it('close the head and make it leave, so that no late order opens it', () => {
    expect(decide('closing', read('open'))).toBe('close');
    expect(decide('closing', read('ready'))).toBe('leave');
    expect(decide('closing', read('broken'))).toBe('leave');
    expect(
      decide('closing', read('ready', { instance: { id: 'i-other' } }), 'other'),
    ).toBeUndefined();
  });

  it('are none for a group of an engine that was there before', () => {
    expect(decide('joining', read(undefined, { instance: { id: 'i-restarted' } }))).toBeUndefined();
    expect(decide('closing', read('open', { instance: { id: 'i-restarted' } }))).toBeUndefined();
  });

  it('stage what the leader wants while the engine is not busy', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'stagingWanted', model: 'large' });
    expect(controller.handle(read(undefined, { isBusy: true }))).toBeUndefined();
    expect(controller.handle(read())).toEqual({ type: 'stage', model: 'large' });
    expect(controller.handle(read(undefined, { staged: ['large'] }, 1000))).toBeUndefined();
  });

  it('remember the model of the last group until the engine is another one', () => {
    const controller = new EngineController('head');
    controller.handle({ type: 'assigned', group });
    controller.handle(read('joining'));
    expect(controller.lastModel).toBeUndefined();
    controller.handle(read('ready'));
    expect(controller.lastModel).toBe('small');
    controller.handle(read(undefined, { instance: { id: 'i-restarted' } }));
    expect(controller.lastModel).toBeUndefined();
  });

  it('hold an engine that started again under its id for another one', () => {
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
   * Symptom: a group that serves is dissolved. One answer of a member's engine was spoilt on its way, and the sidecar reported the
   * engine as gone.
   */
  it('go by what the engine last said while its answers cannot be read, for some seconds', () => {
    const controller = new EngineController('head');
    controller.handle(read('open'));
    controller.handle({ type: 'unreadable', now: 3000 });
    expect(controller.reading?.membership?.state).toBe('open');
    controller.handle({ type: 'unreadable', now: 3001 });
    expect(controller.reading).toBeUndefined();
  });
});

/**
 * A group that served was given up, and its engines were freed beside a head that was open, because one question to an engine got no answer
 * or its liveness check found no slot. The controller had one event for these and for an engine that had ended.
 */
describe('what is told of an engine that is not read', () => {
  it('is that it was not asked yet, before anything came of the first question', () => {
    expect(new EngineController('head').absence).toBe('notAsked');
  });

  it('is that it is silent only after a second question in vain', () => {
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

  it('is that it was not identified while it does not say which instance it is', () => {
    const controller = new EngineController('head');
    controller.handle(read('open'));
    controller.handle({ type: 'notIdentified' });
    expect(controller.absence).toBe('notIdentified');
    expect(controller.reading).toBeUndefined();
  });

  it('keeps the model of the last group, unless the engine has ended', () => {
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
