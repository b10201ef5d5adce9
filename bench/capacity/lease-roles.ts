/** Lease streams between one lead and many members, as messages on the wire without the decisions behind them. */
import { LeaseService } from '../../src/generated/pistachiospoke/v1/lease_pb.js';
import {
  LeaseAnswerReader,
  LeaseAnswerWriter,
  LeaseQuestionReader,
  LeaseQuestionWriter,
  type LeaseAnswer,
  type LeaseQuestion,
} from '../../src/lease/index.js';
import { createRpcServer, MessageQueue, RpcClientPool } from '../../src/wire/index.js';
import { announceReady } from '../support/index.js';

type QuestionMessage = ReturnType<LeaseQuestionWriter['write']>;
type AnswerMessage = ReturnType<LeaseAnswerWriter['write']>;

/** Four questions within a lease of two seconds. */
export const regularInterval = 500;
/** A round before each of 23 attempts a second. */
export const confirmingInterval = 1000 / 23;
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
export function runLeaseLeadRole(address: string, count: number, interval: number): void {
  const streams = Array.from({ length: count }, () => ({
    queue: new MessageQueue<QuestionMessage>(),
    writer: new LeaseQuestionWriter(),
  }));
  let answers = 0;
  for (const { queue } of streams) {
    void readAll(new RpcClientPool().client(LeaseService, address).hold(queue), () => {
      answers += 1;
    });
  }
  let sequence = 0;
  setInterval(() => {
    sequence += 1;
    for (const [index, { queue, writer }] of streams.entries()) {
      queue.push(writer.write(createQuestion(sequence, index)));
    }
  }, interval);
  announceReady('asking', () => String(answers));
}

async function* answerAll(
  questions: AsyncIterable<QuestionMessage>,
): AsyncGenerator<AnswerMessage> {
  const reader = new LeaseQuestionReader();
  const writer = new LeaseAnswerWriter();
  for await (const question of questions) {
    yield writer.write(createAnswer(reader.read(question)));
  }
}

function createQuestion(sequence: number, index: number): LeaseQuestion {
  return {
    sequence,
    group: `assist-llm/${index}`,
    fencingNumber: 1000,
    lead: `llm-host-${index}`,
    leadIncarnation: exampleIncarnation,
    member: `llm-host-${index + 1}`,
    duration: leaseMilliseconds,
    isRelease: false,
  };
}

function createAnswer(question: LeaseQuestion): LeaseAnswer {
  return {
    sequence: question.sequence,
    group: question.group,
    fencingNumber: question.fencingNumber,
    member: question.member,
    memberIncarnation: exampleIncarnation,
    verdict: { type: 'granted', duration: leaseMilliseconds, isDraining: false },
  };
}

async function readAll(answers: AsyncIterable<AnswerMessage>, count: () => void): Promise<void> {
  const reader = new LeaseAnswerReader();
  for await (const answer of answers) {
    if (reader.read(answer).verdict.type === 'granted') {
      count();
    }
  }
}
