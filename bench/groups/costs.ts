import { toBinary, type DescMessage, type MessageShape } from '@bufbuild/protobuf';

import { createRandomSource } from '../../src/common/index.js';
import { emptyConfiguration } from '../../src/configuration/index.js';
import { defaultHostHealthOptions, HostHealth } from '../../src/control/hosts/index.js';
import {
  LeaseAnswerSchema,
  LeaseQuestionSchema,
} from '../../src/generated/pistachiospoke/v1/lease_pb.js';
import {
  LeaseAnswerWriter,
  LeaseLead,
  LeaseMember,
  LeaseQuestionWriter,
  type LeaseLeadEffect,
} from '../../src/lease/index.js';
import type { Group } from '../../src/model/index.js';
import { DrainController } from '../../src/sidecar/drain/index.js';
import { defaultOrderOptions, OrderController } from '../../src/sidecar/orders/index.js';
import { formatFigure, formatMarkdownTable } from '../support/index.js';

/** What leases cost and find out, and what one step of each decision costs. */

const size = 4;
/** An envelope of the Connect stream and the header of an HTTP/2 frame. */
const framingBytes = 5 + 9;
const requestsPerSecond = 23;
const roundTrip = 2;
const batch = 0;

class BenchGroup {
  readonly group: Group = {
    name: 'assist-llm/118',
    declaration: 'assist-llm',
    fencingNumber: 48_213,
    members: Array.from({ length: size }, (_, index) => ({
      host: `runner-bole-${index}`,
      address: '10.20.30.40:8600',
      incarnation: '0f8fad5b-d9cb-469f-a165-70867728950e',
    })),
    offer: { type: 'service', service: 'assist' },
    isDraining: false,
  };
  readonly lead: LeaseLead;
  readonly members: readonly LeaseMember[];
  readonly #questions: readonly LeaseQuestionWriter[];
  readonly #answers: readonly LeaseAnswerWriter[];
  messages = 0;
  bytes = 0;

  constructor(duration: number) {
    const incarnation = '0f8fad5b-d9cb-469f-a165-70867728950e';
    this.lead = new LeaseLead({
      group: this.group,
      incarnation,
      duration,
      confirmBatchDelay: batch,
      confirmTimeout: 250,
    });
    this.#questions = this.group.members.map(() => new LeaseQuestionWriter());
    this.#answers = this.group.members.map(() => new LeaseAnswerWriter());
    this.members = this.group.members.map(({ host }) => startMember(host, duration));
  }

  /** Carries questions and answers at once, those to a dead member nowhere. */
  carry(
    effects: readonly LeaseLeadEffect[],
    now: number,
    dead?: number,
  ): readonly LeaseLeadEffect[] {
    return effects.flatMap((effect) => {
      if (effect.type !== 'ask') {
        return [effect];
      }
      const index = this.group.members.indexOf(effect.member);
      const answers =
        index === dead
          ? []
          : (this.members[index]?.handle({ type: 'asked', now, question: effect.question }) ?? []);
      this.#count(index, LeaseQuestionSchema, this.#questions[index]?.write(effect.question));
      return answers.flatMap(({ answer }) => {
        this.#count(index, LeaseAnswerSchema, this.#answers[index]?.write(answer));
        return this.lead.handle({ type: 'answered', now: now + roundTrip, answer });
      });
    });
  }

  /** Messages to the lead's own member stay in the process. */
  #count<Schema extends DescMessage>(
    member: number,
    schema: Schema,
    message: MessageShape<Schema> | undefined,
  ): void {
    if (member > 0 && message !== undefined) {
      this.messages += 1;
      this.bytes += toBinary(schema, message).length + framingBytes;
    }
  }
}

function startMember(host: string, duration: number): LeaseMember {
  const member = new LeaseMember({ host, incarnation: `${host}/1`, longestLease: duration });
  member.handle({ type: 'started', now: -duration });
  member.handle({ type: 'healthChanged', now: 0, isHealthy: true });
  const event = {
    type: 'readinessChanged',
    now: 0,
    group: 'assist-llm/118',
    fencingNumber: 48_213,
  } as const;
  member.handle({ ...event, isReady: true });
  return member;
}

/** A silent death at a random moment: attempts still admitted by the lease alone, and with a confirmation before each. */
export function measureLeases(): string {
  const rows = [500, 1000, 2000, 5000].flatMap((duration) =>
    [false, true].map((isConfirmed) => {
      const random = createRandomSource(duration);
      const deaths = Array.from({ length: 200 }, () =>
        runDeath(duration, isConfirmed, random.fraction()),
      );
      const mean = (read: (death: Death) => number) =>
        deaths.reduce((sum, death) => sum + read(death), 0) / deaths.length;
      return [
        `${duration} ms${isConfirmed ? ', confirmed' : ''}`,
        formatFigure(mean((death) => death.window)),
        formatFigure(mean((death) => death.admitted)),
        formatFigure(mean((death) => death.messages)),
        formatFigure(mean((death) => death.bytes)),
      ];
    }),
  );
  return formatMarkdownTable(
    [
      'lease',
      'ms from silent death to notice',
      'attempts admitted meanwhile',
      'messages a second, group of 4',
      'bytes a second, group of 4',
    ],
    rows,
  );
}

interface Death {
  readonly window: number;
  readonly admitted: number;
  readonly messages: number;
  readonly bytes: number;
}

const quietSeconds = 4;

function runDeath(duration: number, isConfirmed: boolean, phase: number): Death {
  const bench = new BenchGroup(duration);
  bench.carry(bench.lead.handle({ type: 'started', now: 0 }), 0);
  const diesAt = quietSeconds * 1000 + phase * duration;
  let admitted = 0;
  let noticedAt = Infinity;
  let rate = { messages: 0, bytes: 0 };
  let nextAttempt = 0;
  for (let now = 1; now < diesAt + 2 * duration; now += 1) {
    const dead = now >= diesAt ? 1 : undefined;
    bench.carry(bench.lead.handle({ type: 'ticked', now }), now, dead);
    if (now === quietSeconds * 1000) {
      rate = { messages: bench.messages / quietSeconds, bytes: bench.bytes / quietSeconds };
    }
    if (dead !== undefined && !bench.lead.isWhole(now)) {
      noticedAt = Math.min(noticedAt, now);
    }
    if (now >= nextAttempt) {
      nextAttempt = now + 1000 / requestsPerSecond;
      const isAdmitted = isConfirmed ? confirm(bench, now, dead) : bench.lead.isWhole(now);
      admitted += dead !== undefined && isAdmitted ? 1 : 0;
    }
  }
  return { window: noticedAt - diesAt, admitted, ...rate };
}

function confirm(bench: BenchGroup, now: number, dead: number | undefined): boolean {
  const asked = [
    ...bench.lead.handle({ type: 'confirmRequested', now, token: `${now}` }),
    ...bench.lead.handle({ type: 'ticked', now }),
  ];
  return bench
    .carry(asked, now, dead)
    .some((effect) => effect.type === 'confirmed' && effect.isWhole);
}

/** Microseconds of one step of each decision. */
export function measureSteps(): string {
  const bench = new BenchGroup(2000);
  bench.carry(bench.lead.handle({ type: 'started', now: 0 }), 0);
  let now = 0;
  const round = time(20_000, () => {
    now += 500;
    bench.carry(bench.lead.handle({ type: 'ticked', now }), now);
  });
  return formatMarkdownTable(
    ['step', 'microseconds'],
    [
      ['lease round of a group of 4, both sides, messages encoded', formatFigure(round)],
      ['heartbeat of one of 600 hosts at control', formatFigure(timeHeartbeats(600))],
      ['order: placement, load and role, with xstate', formatFigure(timeOrders())],
      ['planned stop, whole, with xstate', formatFigure(timeDrains())],
    ],
  );
}

function timeHeartbeats(count: number): number {
  const health = new HostHealth(defaultHostHealthOptions, emptyConfiguration.policy);
  let now = 0;
  const beats = time(500, () => {
    now += 1000;
    for (let index = 0; index < count; index += 1) {
      const sign = {
        host: `host-${index}`,
        incarnation: '1',
        region: 'addis',
        failureDomain: `domain-${index % 6}`,
        isHealthy: true,
        isLeaving: false,
      };
      health.handle({ type: 'reported', now, report: sign, via: 'control' });
    }
    health.handle({ type: 'ticked', now });
  });
  return beats / count;
}

function timeOrders(): number {
  const artifact = { model: 'assist', version: '1', adapters: [] };
  return time(2000, () => {
    const orders = new OrderController(defaultOrderOptions, createRandomSource(1));
    const role = { group: 'assist/1', rank: 0, size: 4 };
    const placement = { group: 'assist/1', fencingNumber: 1, artifact, role };
    const engine = { type: 'engine', loaded: [], checksFencingNumber: true } as const;
    orders.handle({ type: 'engineChanged', now: 0, engine });
    orders.handle({ type: 'placementChanged', now: 0, placement });
    orders.handle({ type: 'orderAnswered', now: 1, sequence: 1, outcome: 'accepted' });
    orders.handle({ type: 'engineChanged', now: 2, engine: { ...engine, loaded: [artifact] } });
    orders.handle({ type: 'orderAnswered', now: 3, sequence: 2, outcome: 'accepted' });
  });
}

function timeDrains(): number {
  return time(2000, () => {
    const drain = new DrainController(Infinity);
    drain.handle({ type: 'holdChanged', now: 0, isHeld: true });
    drain.handle({ type: 'stopRequested', now: 0 });
    drain.handle({ type: 'workChanged', now: 1, running: 0 });
    drain.handle({ type: 'holdChanged', now: 2, isHeld: false });
  });
}

/** Median microseconds of a run, over five rounds after one to warm up. */
function time(runs: number, step: () => void): number {
  const rounds = Array.from({ length: 6 }, () => {
    const start = performance.now();
    for (let run = 0; run < runs; run += 1) {
      step();
    }
    return ((performance.now() - start) * 1000) / runs;
  });
  const sorted = rounds.slice(1).sort((left, right) => left - right);
  return sorted[2] ?? NaN;
}
