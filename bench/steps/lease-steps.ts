/** Steps of a group's leases: one lead, four members, no connection between them. */
import { LeaseLead, LeaseMember, type LeaseLeadEvent } from '../../src/lease/index.js';
import type { Group } from '../../src/model/index.js';
import { createStepRow, StepMeter } from './step-meter.js';

const duration = 2000;
const questionInterval = duration / 4;
const rounds = 5000;
const warmUpRounds = 500;
const hosts = ['llm-1', 'llm-2', 'llm-3', 'llm-4'];

const group: Group = {
  name: 'assist-llm/1',
  declaration: 'assist-llm',
  fencingNumber: 1,
  members: hosts.map((host) => ({ host, address: '10.1.0.1:8500', incarnation: host })),
  offer: { type: 'model', artifact: { model: 'assist', version: '1', adapters: [] } },
  isDraining: false,
};

/** Rounds of questions and answers of a group that stays whole. */
export function measureLeaseSteps(): readonly (readonly string[])[] {
  const leadMeter = new StepMeter();
  const memberMeter = new StepMeter();
  const members = new Map(hosts.map((host) => [host, createMember(host)]));
  const lead = new LeaseLead({
    group,
    incarnation: 'llm-1',
    duration,
    confirmBatchDelay: 0,
    confirmTimeout: 250,
  });
  const run = (event: LeaseLeadEvent): void => {
    for (const effect of leadMeter.measure(() => lead.handle(event))) {
      if (effect.type !== 'ask') {
        continue;
      }
      const asked = { type: 'asked', now: event.now, question: effect.question } as const;
      const answers = memberMeter.measure(
        () => members.get(effect.member.host)?.handle(asked) ?? [],
      );
      for (const { answer } of answers) {
        run({ type: 'answered', now: event.now, answer });
      }
    }
  };
  let now = duration;
  run({ type: 'started', now });
  for (let round = 0; round < warmUpRounds + rounds; round += 1) {
    if (round === warmUpRounds) {
      leadMeter.reset();
      memberMeter.reset();
    }
    now += questionInterval;
    run({ type: 'ticked', now });
  }
  if (!lead.isWhole(now)) {
    throw new Error('the group of this bench is not whole');
  }
  return [
    createStepRow('lease lead, 4 members', leadMeter, '5 steps a round: a tick and four answers'),
    createStepRow('lease member', memberMeter, 'one step a question'),
  ];
}

function createMember(host: string): LeaseMember {
  const member = new LeaseMember({ host, incarnation: host, longestLease: duration });
  const { name, fencingNumber } = group;
  member.handle({ type: 'started', now: 0 });
  member.handle({ type: 'healthChanged', now: 0, isHealthy: true });
  member.handle({
    type: 'readinessChanged',
    now: 0,
    group: name,
    fencingNumber,
    isReady: true,
  });
  return member;
}
