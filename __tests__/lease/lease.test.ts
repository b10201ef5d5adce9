import { describe, expect, it } from 'vitest';

import {
  LeaseLead,
  LeaseMember,
  type LeaseLeadEffect,
  type LeaseQuestion,
} from '../../src/lease/index.js';
import type { Group } from '../../src/model/index.js';

const group: Group = {
  name: 'assist/1',
  declaration: 'assist',
  fencingNumber: 7,
  members: ['a', 'b'].map((host) => ({ host, address: `${host}:1`, incarnation: `${host}-1` })),
  offer: { type: 'service', service: 'assist' },
  isDraining: false,
};

const question: LeaseQuestion = {
  sequence: 1,
  group: group.name,
  fencingNumber: 7,
  lead: 'a',
  leadIncarnation: 'a-1',
  member: 'b',
  duration: 2000,
  isRelease: false,
};

function startMember(host: string, now = 0): LeaseMember {
  const member = new LeaseMember({ host, incarnation: `${host}-1`, longestLease: 2000 });
  member.handle({ type: 'started', now: now - 2000 });
  member.handle({ type: 'healthChanged', now, isHealthy: true });
  for (const fencingNumber of [7, 8]) {
    member.handle({
      type: 'readinessChanged',
      now,
      group: group.name,
      fencingNumber,
      isReady: true,
    });
  }
  return member;
}

function ask(member: LeaseMember, now: number, change: Partial<LeaseQuestion> = {}) {
  const [effect] = member.handle({ type: 'asked', now, question: { ...question, ...change } });
  return effect?.answer.verdict;
}

function startLead(): LeaseLead {
  const lead = new LeaseLead({
    group,
    incarnation: 'a-1',
    duration: 2000,
    confirmBatchDelay: 3,
    confirmTimeout: 50,
  });
  return lead;
}

/** Delivers the questions among the effects to their members and the answers back to the lead, without delay. */
function exchange(
  lead: LeaseLead,
  effects: readonly LeaseLeadEffect[],
  members: readonly LeaseMember[],
  now: number,
): readonly LeaseLeadEffect[] {
  return effects.flatMap((effect) => {
    if (effect.type !== 'ask') {
      return [effect];
    }
    const member = members[group.members.indexOf(effect.member)];
    const answers = member?.handle({ type: 'asked', now, question: effect.question }) ?? [];
    return answers.flatMap(({ answer }) => lead.handle({ type: 'answered', now, answer }));
  });
}

describe('lease member', () => {
  it('waits one longest lease after a start', () => {
    const member = startMember('b', 2000);
    expect(ask(member, 1999)).toEqual({ type: 'refused', code: 'restartWait' });
    expect(ask(member, 2000)).toEqual({ type: 'granted', duration: 2000, isDraining: false });
  });

  it('grants a newer placement only once the older lease has expired, and no longer renews the older one', () => {
    const member = startMember('b');
    ask(member, 0);
    expect(ask(member, 10, { fencingNumber: 8 })).toMatchObject({ code: 'leaseHeldElsewhere' });
    expect(ask(member, 20, { sequence: 2 })).toMatchObject({ code: 'staleFencingNumber' });
    expect(ask(member, 1999, { fencingNumber: 8 })).toMatchObject({ type: 'refused' });
    expect(ask(member, 2000, { fencingNumber: 8 })).toMatchObject({ type: 'granted' });
  });

  it('is free at once when its lease is released, which only the lead that holds it can do', () => {
    const member = startMember('b');
    ask(member, 0);
    ask(member, 1, { isRelease: true, sequence: 2, leadIncarnation: 'a-0' });
    expect(member.holder(2)?.fencingNumber).toBe(7);
    ask(member, 3, { isRelease: true, sequence: 3 });
    expect(member.holder(4)).toBeUndefined();
    expect(ask(member, 5)).toMatchObject({ code: 'staleFencingNumber' });
    expect(ask(member, 6, { fencingNumber: 8 })).toMatchObject({ type: 'granted' });
  });

  it('notifies its lead at once when its engine fails', () => {
    const member = startMember('b');
    ask(member, 0, { sequence: 5 });
    const [effect] = member.handle({ type: 'healthChanged', now: 10, isHealthy: false });
    expect(effect?.answer).toMatchObject({
      sequence: 5,
      verdict: { type: 'refused', code: 'engineUnhealthy' },
    });
  });
});

describe('lease lead', () => {
  it('is whole from the last answer until the first lease, counted from its question, expires', () => {
    const members = [startMember('a'), startMember('b')];
    const lead = startLead();
    const asked = lead.handle({ type: 'started', now: 1000 });
    expect(lead.isWhole(1000)).toBe(false);
    const effects = exchange(lead, asked, members, 1300);
    expect(effects.some((effect) => effect.type === 'healthChanged')).toBe(true);
    expect(lead.wholeUntil()).toBe(1000 + 2000 * 0.98);
    expect(lead.checkAdmission(1301)).toBe('ok');
    expect(lead.checkAdmission(2960)).toBe('notWhole');
  });

  it('loses a lease at once on a refusal or a closed connection, even if answers are still in flight', () => {
    const members = [startMember('a'), startMember('b')];
    const lead = startLead();
    exchange(lead, lead.handle({ type: 'started', now: 0 }), members, 1);
    const late = lead.handle({ type: 'ticked', now: 500 });
    lead.handle({ type: 'connectionClosed', now: 510, member: 'b' });
    exchange(lead, late, members, 520);
    expect(lead.isWhole(521)).toBe(false);
    exchange(lead, lead.handle({ type: 'ticked', now: 610 }), members, 611);
    expect(lead.isWhole(612)).toBe(true);
  });

  it('releases all leases when the placement is dissolved', () => {
    const members = [startMember('a'), startMember('b')];
    const lead = startLead();
    exchange(lead, lead.handle({ type: 'started', now: 0 }), members, 1);
    exchange(lead, lead.handle({ type: 'dissolved', now: 10 }), members, 11);
    expect(members.map((member) => member.holder(12))).toEqual([undefined, undefined]);
    expect(lead.isWhole(12)).toBe(false);
  });

  it('drains when a member asks for it', () => {
    const members = [startMember('a'), startMember('b')];
    const lead = startLead();
    exchange(lead, lead.handle({ type: 'started', now: 0 }), members, 1);
    const [notice] = members[1]?.handle({ type: 'drainRequested', now: 2 }) ?? [];
    if (notice === undefined) {
      throw new Error('the member did not notify its lead');
    }
    const effects = lead.handle({ type: 'answered', now: 3, answer: notice.answer });
    expect(effects).toContainEqual({ type: 'drainNoted', member: 'b' });
    expect(lead.checkAdmission(4)).toBe('draining');
    expect(lead.isWhole(4)).toBe(true);
  });

  it('is drained only once attempts were counted after the drain began', () => {
    // Regression: control dissolved a group with an attempt in flight. The attempt was admitted and a drain began before
    // the next count, and the count from before the drain was still used.
    const members = [startMember('a'), startMember('b')];
    const lead = startLead();
    exchange(lead, lead.handle({ type: 'started', now: 0 }), members, 1);
    lead.handle({ type: 'attemptsChanged', now: 2, running: 0 });
    lead.handle({ type: 'drainRequested', now: 3 });
    expect(lead.health(3).isDrained).toBe(false);
    lead.handle({ type: 'attemptsChanged', now: 4, running: 1 });
    expect(lead.health(4).isDrained).toBe(false);
    lead.handle({ type: 'attemptsChanged', now: 5, running: 0 });
    expect(lead.health(5).isDrained).toBe(true);
  });

  it('confirms a batch of attempts with one round of questions, and fails it when a member does not answer', () => {
    const members = [startMember('a'), startMember('b')];
    const lead = startLead();
    exchange(lead, lead.handle({ type: 'started', now: 0 }), members, 1);
    lead.handle({ type: 'confirmRequested', now: 100, token: 'x' });
    lead.handle({ type: 'confirmRequested', now: 102, token: 'y' });
    const round = lead.handle({ type: 'ticked', now: 103 });
    expect(round.filter((effect) => effect.type === 'ask')).toHaveLength(2);
    const settled = exchange(lead, round, members, 104);
    expect(settled).toContainEqual({ type: 'confirmed', token: 'x', isWhole: true });
    expect(settled).toContainEqual({ type: 'confirmed', token: 'y', isWhole: true });
    lead.handle({ type: 'confirmRequested', now: 110, token: 'z' });
    lead.handle({ type: 'ticked', now: 113 });
    const failed = lead.handle({ type: 'ticked', now: 163 });
    expect(failed).toContainEqual({ type: 'confirmed', token: 'z', isWhole: false });
  });
});
