/** Lease streams between one lead and many members, as messages on the wire without the decisions behind them. */
import { create } from '@bufbuild/protobuf';

import {
  LeaseAnswerSchema,
  LeaseQuestionSchema,
  LeaseService,
  type LeaseAnswer,
  type LeaseQuestion,
} from '../../src/generated/pistachiospoke/v1/lease_pb.js';
import { createRpcServer, MessageQueue, RpcClientPool } from '../../src/wire/index.js';
import { announceReady } from '../support/index.js';

/** Four questions within a lease of two seconds. */
const questionInterval = 500;
const leaseMilliseconds = 2000;
const exampleIncarnation = '6f1c2a8e-0f5d-4f0a-9b4c-2f1d6e7a8b9c';

/** Answers every question with a grant. */
export async function runLeaseMemberRole(address: string): Promise<void> {
  const server = createRpcServer({
    address,
    routes: (router) => {
      router.service(LeaseService, { hold: answerAll });
    },
  });
  await server.open();
  announceReady(address);
}

/** Asks on as many streams as told, each on a connection of its own. */
export function runLeaseLeadRole(address: string, count: number): void {
  const queues = Array.from({ length: count }, () => new MessageQueue<LeaseQuestion>());
  let answers = 0;
  for (const queue of queues) {
    void readAll(new RpcClientPool().client(LeaseService, address).hold(queue), () => {
      answers += 1;
    });
  }
  let sequence = 0;
  setInterval(() => {
    sequence += 1;
    for (const [index, queue] of queues.entries()) {
      queue.push(createQuestion(sequence, index));
    }
  }, questionInterval);
  announceReady('asking', () => String(answers));
}

async function* answerAll(questions: AsyncIterable<LeaseQuestion>): AsyncGenerator<LeaseAnswer> {
  for await (const question of questions) {
    yield createAnswer(question);
  }
}

function createQuestion(sequence: number, index: number): LeaseQuestion {
  return create(LeaseQuestionSchema, {
    sequence: BigInt(sequence),
    group: `assist-llm/${index}`,
    fencingNumber: 1000n,
    lead: `llm-host-${index}`,
    leadIncarnation: exampleIncarnation,
    member: `llm-host-${index + 1}`,
    memberIncarnation: exampleIncarnation,
    durationMilliseconds: leaseMilliseconds,
  });
}

function createAnswer(question: LeaseQuestion): LeaseAnswer {
  return create(LeaseAnswerSchema, {
    sequence: question.sequence,
    group: question.group,
    fencingNumber: question.fencingNumber,
    member: question.member,
    memberIncarnation: question.memberIncarnation,
    durationMilliseconds: question.durationMilliseconds,
  });
}

async function readAll(answers: AsyncIterable<LeaseAnswer>, count: () => void): Promise<void> {
  for await (const answer of answers) {
    if (answer.resultCode === 0) {
      count();
    }
  }
}
