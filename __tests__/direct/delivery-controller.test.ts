import { describe, expect, it } from 'vitest';

import type { TargetChoice } from '../../src/dispatch/index.js';
import {
  DeliveryController,
  type CrashAssessment,
  type DeliveryEffect,
  type DeliveryEvent,
  type DeliveryOptions,
} from '../../src/gateway/direct/index.js';
import { createTarget } from './targets.js';

/** A controller with fake dependencies that a test changes while it runs. */
class Session {
  readonly lost = new Set<string>();
  targets: string[] = ['a', 'b', 'c'];
  isFull = false;
  isSent = true;
  readonly paused = new Set<string>();
  pausedUntil = 0;
  repeats = 10;
  assessment: CrashAssessment = 'harmless';
  readonly controller: DeliveryController;

  constructor(facts: Partial<DeliveryOptions> = {}) {
    const defaults = { isRetryable: true, attempts: 2, startedAt: 0, deadline: 6000 };
    this.controller = new DeliveryController(
      { ...defaults, ...facts },
      {
        choose: (tried) => this.#choose(tried),
        isStillServing: ({ key }) => !this.lost.has(key),
        isAvailable: ({ key }) => !this.paused.has(key),
        isSent: () => this.isSent,
        spendRetry: () => {
          this.repeats -= 1;
          return this.repeats >= 0;
        },
        assessCrashes: () => this.assessment,
      },
    );
  }

  #choose(tried: ReadonlySet<string>): TargetChoice {
    const untried = this.targets.filter((each) => !tried.has(each) && !this.lost.has(each));
    const key = untried.find((each) => !this.paused.has(each));
    if (this.isFull) {
      return { type: 'full' };
    }
    if (untried.length > 0 && key === undefined) {
      return { type: 'paused', until: this.pausedUntil };
    }
    return key === undefined ? { type: 'none' } : { type: 'target', target: createTarget(key) };
  }
}

function describeEffects(effects: readonly DeliveryEffect[]): readonly string[] {
  return effects.map((effect) => {
    switch (effect.type) {
      case 'send':
        return `send ${effect.target.key} ${effect.remaining}`;
      case 'cut':
      case 'fail':
        return `${effect.type} ${effect.failure.code}`;
      case 'cancel':
      case 'discard':
      case 'finish':
        return effect.type;
    }
  });
}

describe('delivery of one request', () => {
  /**
   * Guards against failures for callers of a lookup while other instances have free capacity: one instance fails some of its requests, and
   * its failures were forwarded although the request is retryable.
   */
  it('is retried on another upstream after a failure if it is retryable', () => {
    const { controller } = new Session();
    controller.handle({ type: 'started', now: 0 });
    expect(describeEffects(controller.handle({ type: 'failed', now: 100 }))).toEqual([
      'discard',
      'send b 5900',
    ]);
    expect(controller.handle({ type: 'failed', now: 200 })).toEqual([]);
    expect(describeEffects(controller.handle({ type: 'ended' }))).toEqual(['finish']);
  });

  it.each<[string, Partial<DeliveryOptions>, Partial<Session>]>([
    ['it is not retryable', { isRetryable: false }, {}],
    ['only one upstream is allowed', { attempts: 1 }, {}],
    ['no time is left', { deadline: 110 }, {}],
    ['all others are full', {}, { isFull: true }],
    ['there is no other', {}, { targets: ['a'] }],
    ['the retry budget is spent', {}, { repeats: 0 }],
  ])('forwards a failure if %s', (_, facts, changes) => {
    const session = new Session(facts);
    session.controller.handle({ type: 'started', now: 0 });
    Object.assign(session, changes);
    expect(session.controller.handle({ type: 'failed', now: 100 })).toEqual([]);
  });

  // Guards against crashing another upstream before control knows of the first crash, and against refusing harmless requests for it.
  it('waits until control has recorded a crash that it was in flight at', () => {
    const session = new Session();
    session.assessment = 'unrecorded';
    const { controller } = session;
    expect(controller.handle({ type: 'started', now: 0 })).toEqual([]);
    session.assessment = 'harmless';
    const sent = controller.handle({ type: 'targetsChanged', now: 100 });
    expect(describeEffects(sent)).toEqual(['send a 5900']);
    session.assessment = 'unrecorded';
    const retried = controller.handle({ type: 'broken', now: 300 });
    expect(describeEffects(retried)).toEqual(['send b 5700']);
    const fresh = new Session();
    fresh.assessment = 'unrecorded';
    fresh.controller.handle({ type: 'started', now: 0 });
    expect(fresh.controller.wakeAt).toBe(1800);
    const refused = fresh.controller.handle({ type: 'ticked', now: fresh.controller.wakeAt ?? 0 });
    expect(describeEffects(refused)).toEqual(['fail crashUnrecorded']);
  });

  // Guards against callers that wait for the end of a pause although they would be refused before it.
  it.each([
    [1000, []],
    [1001, ['fail upstreamsPaused']],
  ])('waits for a pause that ends at %i only if it can wait that long', (until, expected) => {
    const session = new Session({ deadline: 6000, startedAt: 500 });
    session.targets.forEach((key) => session.paused.add(key));
    session.pausedUntil = until;
    const { controller } = session;
    expect(describeEffects(controller.handle({ type: 'started', now: 500 }))).toEqual(expected);
    if (controller.isWaiting) {
      session.paused.clear();
      const effects = controller.handle({ type: 'targetsChanged', now: 1000 });
      expect(describeEffects(effects)).toEqual(['send a 5000']);
    }
  });

  // Guards against refusing a caller for an attempt that was never sent: its upstream asked for a pause while it waited for a connection.
  it('goes to another upstream if its upstream asks for a pause before it is sent', () => {
    const session = new Session({ attempts: 1, isRetryable: false });
    const { controller } = session;
    controller.handle({ type: 'started', now: 0 });
    session.paused.add('a');
    expect(controller.handle({ type: 'targetsChanged', now: 50 })).toEqual([]);
    session.isSent = false;
    const effects = controller.handle({ type: 'targetsChanged', now: 100 });
    expect(describeEffects(effects)).toEqual(['cancel', 'send b 5900']);
    expect(controller.attemptCount).toBe(1);
  });

  // Guards against callers that wait at a stalled upstream until their deadlines, and whose requests run when it resumes, after they have
  // left. The host of a head is frozen, and nothing reports it; requests moved only on information from control.
  it('moves to another upstream when its upstream stalls', () => {
    const { controller } = new Session();
    const stalled = new Set(['a', 'b']);
    controller.handle({ type: 'started', now: 0 });
    expect(describeEffects(controller.handle({ type: 'stalled', now: 700, stalled }))).toEqual([
      'cancel',
      'send c 5300',
    ]);
    expect(controller.handle({ type: 'stalled', now: 800, stalled })).toEqual([]);
  });

  it.each<[string, Partial<DeliveryOptions>, Partial<Session>]>([
    ['it is not retryable', { isRetryable: false }, {}],
    ['only one upstream is allowed', { attempts: 1 }, {}],
    ['no time is left', { deadline: 110 }, {}],
    ['all others are full', {}, { isFull: true }],
    ['all others have stalled too', {}, { targets: ['a'] }],
    ['the retry budget is spent', {}, { repeats: 0 }],
  ])('stays at a stalled upstream if %s', (_, facts, changes) => {
    const session = new Session(facts);
    session.controller.handle({ type: 'started', now: 0 });
    Object.assign(session, changes);
    const stalled = new Set(['a']);
    expect(session.controller.handle({ type: 'stalled', now: 100, stalled })).toEqual([]);
  });

  it('continues on another upstream when its upstream stalls in the middle of the response', () => {
    const { controller } = new Session();
    controller.handle({ type: 'started', now: 0 });
    controller.handle({ type: 'passedOn' });
    const stalled = new Set(['a']);
    expect(describeEffects(controller.handle({ type: 'stalled', now: 700, stalled }))).toEqual([
      'cancel',
      'send b 5300',
    ]);
  });

  it('is sent to another upstream with the remaining time when an upstream did not run it', () => {
    const { controller } = new Session({ isRetryable: false });
    expect(describeEffects(controller.handle({ type: 'started', now: 0 }))).toEqual([
      'send a 6000',
    ]);
    expect(describeEffects(controller.handle({ type: 'refused', now: 500 }))).toEqual([
      'send b 5500',
    ]);
    expect(describeEffects(controller.handle({ type: 'ended' }))).toEqual(['finish']);
  });

  it('reports "not run" only if no attempt can have run', () => {
    const { controller } = new Session();
    controller.handle({ type: 'started', now: 0 });
    controller.handle({ type: 'broken', now: 100 });
    expect(describeEffects(controller.handle({ type: 'refused', now: 200 }))).toEqual([
      'fail answerLost',
    ]);
  });

  it('tells the caller when to retry if nothing ran', () => {
    const { controller } = new Session();
    controller.handle({ type: 'started', now: 0 });
    controller.handle({ type: 'refused', now: 100 });
    const effects = controller.handle({ type: 'unreachable', now: 200 });
    expect(describeEffects(effects)).toEqual(['fail overloaded']);
    expect(effects).toMatchObject([{ failure: { retryAfterMilliseconds: 1798 } }]);
  });

  /** Guards against callers that are refused while groups serve: connections that could not be opened had spent the retry budget. */
  it('does not spend the retry budget after an attempt that was never sent', () => {
    const session = new Session();
    session.repeats = 0;
    session.controller.handle({ type: 'started', now: 0 });
    const resent = session.controller.handle({ type: 'unreachable', now: 100 });
    expect(describeEffects(resent)).toEqual(['send b 5900']);
    const again = session.controller.handle({ type: 'refused', now: 200 });
    expect(describeEffects(again)).toEqual(['fail overloaded']);
  });

  /**
   * Guards against callers that leave without being told when to come back: after a restart of all hosts each wait of a request began anew,
   * first for the document, then for a group, then for another group after the first had gone.
   */
  it('is refused before its caller leaves, however many upstreams it waited for', () => {
    const session = new Session();
    session.targets = [];
    const { controller } = session;
    controller.handle({ type: 'started', now: 1100 });
    session.targets = ['a'];
    controller.handle({ type: 'targetsChanged', now: 1200 });
    session.targets = [];
    controller.handle({ type: 'refused', now: 1250 });
    expect(controller.wakeAt).toBe(1800);
    expect(describeEffects(controller.handle({ type: 'ticked', now: 1800 }))).toEqual([
      'fail noServingGroup',
    ]);
  });

  it('spends the retry budget after an attempt that was refused', () => {
    const session = new Session();
    session.repeats = 0;
    session.controller.handle({ type: 'started', now: 0 });
    const effects = session.controller.handle({ type: 'refused', now: 100 });
    expect(describeEffects(effects)).toEqual(['fail retryBudgetSpent']);
  });

  /** Guards against a duplicate booking: the connection breaks after the request has run, and a second upstream runs it again. */
  it('is not retried if it may have run and is not retryable', () => {
    const { controller } = new Session({ isRetryable: false });
    controller.handle({ type: 'started', now: 0 });
    expect(describeEffects(controller.handle({ type: 'broken', now: 100 }))).toEqual([
      'fail answerLost',
    ]);
  });

  /**
   * Guards against a stream that pauses for seconds: a member of its group is lost, the head does not report that until its connection
   * breaks, and the gateway waits for it.
   */
  it('leaves a lost group and continues on another', () => {
    const session = new Session();
    session.controller.handle({ type: 'started', now: 0 });
    session.controller.handle({ type: 'passedOn' });
    session.lost.add('a');
    const effects = session.controller.handle({ type: 'targetsChanged', now: 300 });
    expect(describeEffects(effects)).toEqual(['cancel', 'send b 5700']);
  });

  /**
   * Guards against a 502, after which callers may not retry, for requests that no upstream has received. After a power cut, the connection
   * to the head is still being opened when the group is removed, and the gateway assumes that the request may have run.
   */
  it('reports "not run" if the connection to a lost group was never open', () => {
    const session = new Session();
    session.isSent = false;
    session.controller.handle({ type: 'started', now: 0 });
    session.lost.add('a');
    session.targets = [];
    const effects = session.controller.handle({ type: 'targetsChanged', now: 300 });
    expect(describeEffects(effects)).toEqual(['cancel']);
    const wakeAt = session.controller.wakeAt ?? Number.NaN;
    expect(describeEffects(session.controller.handle({ type: 'ticked', now: wakeAt }))).toEqual([
      'fail noServingGroup',
    ]);
  });

  it('is sent to another upstream, even if not retryable, when its connection was never open', () => {
    const session = new Session({ isRetryable: false });
    session.isSent = false;
    session.controller.handle({ type: 'started', now: 0 });
    session.lost.add('a');
    const effects = session.controller.handle({ type: 'targetsChanged', now: 300 });
    expect(describeEffects(effects)).toEqual(['cancel', 'send b 5700']);
  });

  it('reports "not run" at the deadline if the connection was never open', () => {
    const session = new Session({ deadline: 1200 });
    session.isSent = false;
    session.controller.handle({ type: 'started', now: 0 });
    const effects = session.controller.handle({ type: 'ticked', now: 1200 });
    expect(describeEffects(effects)).toEqual(['cancel', 'fail overloaded']);
  });

  it('stays at a lost group if it is not retryable', () => {
    const session = new Session({ isRetryable: false });
    session.controller.handle({ type: 'started', now: 0 });
    session.lost.add('a');
    expect(session.controller.handle({ type: 'targetsChanged', now: 300 })).toEqual([]);
  });

  // Guards against streams that are broken off while their head still responds: its group is lost, and the retry budget is spent.
  it.each([false, true])(
    'stays at a lost group while the retry budget is spent, partly forwarded: %s',
    (isPassedOn) => {
      const session = new Session();
      const { controller } = session;
      controller.handle({ type: 'started', now: 0 });
      if (isPassedOn) {
        controller.handle({ type: 'passedOn' });
      }
      session.lost.add('a');
      session.repeats = 0;
      expect(controller.handle({ type: 'targetsChanged', now: 300 })).toEqual([]);
      expect(controller.attemptCount).toBe(1);
      expect(controller.wakeAt).toBe(6000);
      session.repeats = 1;
      const moved = controller.handle({ type: 'targetsChanged', now: 500 });
      expect(describeEffects(moved)).toEqual(['cancel', 'send b 5500']);
      expect(session.repeats).toBe(0);
    },
  );

  // Guards against streams that are broken off while their head still responds: its group is lost, and no other attempt is allowed.
  it.each<[boolean, readonly string[]]>([
    [true, []],
    [false, ['cancel', 'fail answerLost']],
  ])(
    'stays at a lost group with its last attempt if partly forwarded: %s',
    (isPassedOn, expected) => {
      const session = new Session({ attempts: 1 });
      const { controller } = session;
      controller.handle({ type: 'started', now: 0 });
      if (isPassedOn) {
        controller.handle({ type: 'passedOn' });
      }
      session.lost.add('a');
      const effects = controller.handle({ type: 'targetsChanged', now: 300 });
      expect(describeEffects(effects)).toEqual(expected);
      expect(controller.wakeAt).toBe(isPassedOn ? 6000 : undefined);
      expect(session.repeats).toBe(10);
      if (isPassedOn) {
        const broken = controller.handle({ type: 'broken', now: 400 });
        expect(describeEffects(broken)).toEqual(['cut answerBroken']);
      }
    },
  );

  // Guards against streams that are broken off while their head still responds: its group is lost, and a quarantine lets them go nowhere else.
  it('stays at a lost group if it is quarantined and partly forwarded', () => {
    const session = new Session();
    const { controller } = session;
    controller.handle({ type: 'started', now: 0 });
    controller.handle({ type: 'passedOn' });
    session.lost.add('a');
    session.assessment = 'quarantined';
    expect(controller.handle({ type: 'targetsChanged', now: 300 })).toEqual([]);
    session.assessment = 'harmless';
    const moved = controller.handle({ type: 'targetsChanged', now: 500 });
    expect(describeEffects(moved)).toEqual(['cancel', 'send b 5500']);
  });

  // Guards against a request without an end after it has stayed at a lost group.
  it.each<[DeliveryEvent, readonly string[]]>([
    [{ type: 'ended' }, ['finish']],
    [{ type: 'broken', now: 400 }, ['cut retryBudgetSpent']],
    [{ type: 'stopped', now: 400 }, ['cancel', 'cut stopping']],
    [{ type: 'ticked', now: 6000 }, ['cancel', 'cut deadlineAfterStart']],
    [{ type: 'callerLeft' }, ['cancel']],
  ])('that stayed at a lost group ends on %o', (event, expected) => {
    const session = new Session();
    const { controller } = session;
    controller.handle({ type: 'started', now: 0 });
    controller.handle({ type: 'passedOn' });
    session.lost.add('a');
    session.repeats = 0;
    expect(controller.handle({ type: 'targetsChanged', now: 300 })).toEqual([]);
    expect(describeEffects(controller.handle(event))).toEqual(expected);
    expect(controller.isOver).toBe(true);
  });

  // Guards against silent streams that nothing moves: control reports no further change after the loss of their group.
  it('moves from a lost group that has stalled once the retry budget allows it', () => {
    const session = new Session();
    const { controller } = session;
    controller.handle({ type: 'started', now: 0 });
    controller.handle({ type: 'passedOn' });
    session.lost.add('a');
    session.repeats = 0;
    const stalled = new Set(['a']);
    expect(controller.handle({ type: 'targetsChanged', now: 300 })).toEqual([]);
    expect(controller.handle({ type: 'stalled', now: 700, stalled })).toEqual([]);
    session.repeats = 1;
    const moved = controller.handle({ type: 'stalled', now: 800, stalled });
    expect(describeEffects(moved)).toEqual(['cancel', 'send b 5200']);
    expect(session.repeats).toBe(0);
  });

  it('breaks the connection of a partly forwarded response that cannot continue', () => {
    const session = new Session();
    session.controller.handle({ type: 'started', now: 0 });
    session.controller.handle({ type: 'passedOn' });
    session.controller.handle({ type: 'broken', now: 100 });
    expect(describeEffects(session.controller.handle({ type: 'broken', now: 200 }))).toEqual([
      'cut answerBroken',
    ]);
  });

  it('sends no more than the route allows, refusals included', () => {
    const { controller } = new Session({ attempts: 2 });
    controller.handle({ type: 'started', now: 0 });
    controller.handle({ type: 'refused', now: 10 });
    controller.handle({ type: 'refused', now: 20 });
    expect(controller.attemptCount).toBe(2);
    expect(controller.isOver).toBe(true);
  });

  // Guards against sending a quarantined request to another upstream on any of the sending paths.
  it('is not sent once it is quarantined, and fails immediately without a retry delay', () => {
    const fresh = new Session();
    fresh.assessment = 'quarantined';
    const [answer] = fresh.controller.handle({ type: 'started', now: 0 });
    expect(answer).toMatchObject({ type: 'fail', failure: { code: 'requestQuarantined' } });
    expect(answer).not.toHaveProperty('failure.retryAfterMilliseconds');

    const broken = new Session();
    broken.controller.handle({ type: 'started', now: 0 });
    broken.assessment = 'quarantined';
    expect(describeEffects(broken.controller.handle({ type: 'broken', now: 10 }))).toEqual([
      'fail requestQuarantined',
    ]);

    const waiting = new Session();
    waiting.isFull = true;
    waiting.controller.handle({ type: 'started', now: 0 });
    waiting.assessment = 'quarantined';
    const woken = waiting.controller.handle({ type: 'targetsChanged', now: 10 });
    expect(describeEffects(woken)).toEqual(['fail requestQuarantined']);

    const lost = new Session();
    lost.controller.handle({ type: 'started', now: 0 });
    lost.assessment = 'quarantined';
    lost.lost.add('a');
    const moved = lost.controller.handle({ type: 'targetsChanged', now: 10 });
    expect(describeEffects(moved)).toEqual(['cancel', 'fail requestQuarantined']);
  });

  it('keeps its running attempt when it is quarantined, since a complete answer would clear it', () => {
    const stalled = new Session();
    stalled.controller.handle({ type: 'started', now: 0 });
    stalled.assessment = 'quarantined';
    const event = { type: 'stalled', now: 10, stalled: new Set(['a']) } as const;
    expect(stalled.controller.handle(event)).toEqual([]);
    expect(stalled.controller.handle({ type: 'failed', now: 20 })).toEqual([]);
    expect(describeEffects(stalled.controller.handle({ type: 'ended' }))).toEqual(['finish']);
  });

  it('fails when the retry budget is spent', () => {
    const session = new Session();
    session.repeats = 0;
    session.controller.handle({ type: 'started', now: 0 });
    expect(describeEffects(session.controller.handle({ type: 'refused', now: 10 }))).toEqual([
      'fail retryBudgetSpent',
    ]);
  });

  it('waits for a slot, is sent when one is free, and fails in time otherwise', () => {
    const session = new Session();
    session.isFull = true;
    expect(session.controller.handle({ type: 'started', now: 0 })).toEqual([]);
    session.isFull = false;
    expect(
      describeEffects(session.controller.handle({ type: 'targetsChanged', now: 400 })),
    ).toEqual(['send a 5600']);

    const other = new Session();
    other.targets = [];
    other.controller.handle({ type: 'started', now: 0 });
    const wakeAt = other.controller.wakeAt ?? Number.NaN;
    expect(describeEffects(other.controller.handle({ type: 'ticked', now: wakeAt }))).toEqual([
      'fail noServingGroup',
    ]);
  });

  /**
   * Guards against callers that give up without being told to retry: a request that was refused before has little time left, and the
   * gateway holds it as long as any other.
   */
  it('does not wait for most of its total time', () => {
    const session = new Session({ deadline: 600 });
    session.targets = [];
    session.controller.handle({ type: 'started', now: 0 });
    expect(session.controller.wakeAt).toBe(180);
    const crowded = new Session({ deadline: 600 });
    crowded.isFull = true;
    crowded.controller.handle({ type: 'started', now: 0 });
    expect(crowded.controller.wakeAt).toBe(90);
  });

  /**
   * Guards against refusing callers, who then have no retry left, just before groups serve again after all processes were killed. No
   * upstream could serve them sooner, so an earlier refusal gains nothing.
   */
  it('waits longer if there is no upstream at all than if all are full', () => {
    const session = new Session();
    session.targets = [];
    session.controller.handle({ type: 'started', now: 0 });
    expect(session.controller.wakeAt).toBe(1800);
    session.isFull = true;
    session.controller.handle({ type: 'targetsChanged', now: 1000 });
    expect(session.controller.wakeAt).toBe(1500);
    session.controller.handle({ type: 'targetsChanged', now: 1400 });
    expect(session.controller.wakeAt).toBe(1500);
  });

  /**
   * Guards against callers that retry only to be refused again: all were told the same short delay, in which no group can be repaired.
   * Each caller retries once.
   */
  it.each([
    [8000, 2000],
    [1000, 310],
    [100, 200],
  ])('tells a caller with %i ms left to retry after %i ms', (deadline, expected) => {
    const { controller } = new Session({ attempts: 1, deadline });
    controller.handle({ type: 'started', now: 0 });
    expect(controller.handle({ type: 'refused', now: 0 })).toMatchObject([
      { failure: { retryAfterMilliseconds: expected } },
    ]);
  });

  /** Guards against failing a request at once that an upstream refuses after seconds, although slots become free all the time. */
  it('waits as long for a slot after a late refusal as at the start', () => {
    const session = new Session({ attempts: 3 });
    session.controller.handle({ type: 'started', now: 0 });
    session.isFull = true;
    session.controller.handle({ type: 'refused', now: 3000 });
    expect(session.controller.wakeAt).toBe(3500);
  });

  it('waits longer for a partly forwarded stream', () => {
    const session = new Session({ attempts: 3 });
    session.controller.handle({ type: 'started', now: 0 });
    session.controller.handle({ type: 'passedOn' });
    session.targets = [];
    session.controller.handle({ type: 'broken', now: 1000 });
    expect(session.controller.wakeAt).toBe(2500);
  });

  it('ends at the deadline regardless of the upstream', () => {
    const { controller } = new Session({ deadline: 1200 });
    controller.handle({ type: 'started', now: 0 });
    expect(controller.wakeAt).toBe(1200);
    expect(describeEffects(controller.handle({ type: 'ticked', now: 1200 }))).toEqual([
      'cancel',
      'fail deadlineAfterStart',
    ]);
  });

  // Guards against requests that end without a response when the process does, and against a "not run" that is not true.
  it.each<[string, Partial<Session>, boolean, readonly string[]]>([
    ['waits', { isFull: true }, false, ['fail stopping']],
    ['waits for a connection', { isSent: false }, false, ['cancel', 'fail stopping']],
    ['may have run', {}, false, ['cancel', 'fail answerLost']],
    ['is partly answered', {}, true, ['cancel', 'cut stopping']],
  ])('ends with the process while it %s', (_, state, isPassedOn, expected) => {
    const session = new Session();
    Object.assign(session, state);
    const { controller } = session;
    controller.handle({ type: 'started', now: 0 });
    if (isPassedOn) {
      controller.handle({ type: 'passedOn' });
    }
    expect(describeEffects(controller.handle({ type: 'stopped', now: 50 }))).toEqual(expected);
    expect(controller.wakeAt).toBeUndefined();
  });

  it('aborts the attempt without a response when the caller has left', () => {
    const { controller } = new Session();
    controller.handle({ type: 'started', now: 0 });
    expect(describeEffects(controller.handle({ type: 'callerLeft' }))).toEqual(['cancel']);
    expect(controller.handle({ type: 'broken', now: 10 })).toEqual([]);
    expect(controller.wakeAt).toBeUndefined();
  });
});
