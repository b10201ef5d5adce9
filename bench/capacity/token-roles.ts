/** Streamed answers between a lead sidecar and gateways, as frames on the wire without the decisions behind them. */
import { create } from '@bufbuild/protobuf';

import {
  AttemptService,
  RunResponseSchema,
  type RunResponse,
} from '../../src/generated/pistachiospoke/v1/attempt_pb.js';
import { createRpcServer, MessageQueue, RpcClientPool } from '../../src/wire/index.js';
import { announceReady } from '../support/index.js';

/** Time between two tokens of one answer. */
export const tokenInterval = 42;
/** One token as a server-sent event of a chat completion. */
const tokenBytes = 160;

/** Sends on every open stream the tokens of `batch` steps in one frame, every `batch` steps. */
export async function runTokenServerRole(address: string, batch: number): Promise<void> {
  const queues = new Set<MessageQueue<RunResponse>>();
  const server = createRpcServer({
    address,
    routes: (router) => {
      router.service(AttemptService, {
        run: () => {
          const queue = new MessageQueue<RunResponse>();
          queues.add(queue);
          return queue;
        },
      });
    },
  });
  await server.open();
  let frames = 0;
  let offset = 0;
  const bytes = new Uint8Array(tokenBytes * batch).fill(97);
  setInterval(() => {
    for (const queue of queues) {
      queue.push(createFrame(offset, bytes));
      frames += 1;
    }
    offset += bytes.length;
  }, tokenInterval * batch);
  announceReady(address, () => String(frames));
}

/** Reads as many streams as told, each on a connection of its own: with 410 gateways hardly two share one. */
export function runTokenClientRole(address: string, count: number): void {
  let frames = 0;
  for (let index = 0; index < count; index += 1) {
    const answers = new RpcClientPool().client(AttemptService, address).run({});
    void readAll(answers, () => {
      frames += 1;
    });
  }
  announceReady('reading', () => String(frames));
}

function createFrame(offset: number, bytes: Uint8Array): RunResponse {
  return create(RunResponseSchema, {
    event: { case: 'data', value: { offset: BigInt(offset), bytes } },
  });
}

async function readAll(answers: AsyncIterable<RunResponse>, count: () => void): Promise<void> {
  for await (const answer of answers) {
    if (answer.event.case === 'data') {
      count();
    }
  }
}
