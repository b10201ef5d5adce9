import type { IncomingMessage, ServerResponse } from 'node:http';

import { createFailure, type Failure, type Milliseconds } from '../../common/index.js';
import type { RequestId } from '../../model/index.js';
import type { RequestStage } from '../request-machine.js';
import { CallerAnswer } from './caller-answer.js';
import type { RequestRunner } from './request-runner.js';

const stoppingRetryAfter: Milliseconds = 1000;

/** What a request is waiting for; `receiving`: its body, `sending`: that the caller reads its response. */
export type CallerRequestStage = 'receiving' | 'sending' | RequestStage;

/** A request that is not over, for the log of a shutdown. */
export interface CallerRequestDescription {
  readonly requestId: RequestId;
  readonly stage: CallerRequestStage;
  /** Time since its head was read. */
  readonly age: Milliseconds;
  /** When its head was read, after the beginning of the stop; negative if before. */
  readonly receivedAfter: Milliseconds;
}

/** One request of a caller, from its head to the end of its response. */
export class CallerRequest {
  readonly id: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly answer: CallerAnswer;
  /** When its head was read. */
  readonly receivedAt: Milliseconds;
  #runner: RequestRunner | undefined;

  constructor(
    id: RequestId,
    response: ServerResponse,
    receivedAt: Milliseconds,
    endsConnection: () => boolean,
  ) {
    this.id = id;
    this.request = response.req;
    this.response = response;
    this.receivedAt = receivedAt;
    this.answer = new CallerAnswer(response, id, endsConnection);
  }

  get isAnswered(): boolean {
    return this.response.headersSent;
  }

  describe(now: Milliseconds, stoppedAt: Milliseconds): CallerRequestDescription {
    return {
      requestId: this.id,
      stage: this.#stage,
      age: Math.round(now - this.receivedAt),
      receivedAfter: Math.round(this.receivedAt - stoppedAt),
    };
  }

  run(runner: RequestRunner): void {
    this.#runner = runner;
    runner.start();
  }

  tick(): void {
    this.#runner?.tick();
  }

  /** Ends the request now: with a response that says whether it may have run. */
  shutDown(): void {
    if (this.#runner !== undefined) {
      this.#runner.shutDown();
    } else if (!this.isAnswered) {
      this.fail(createFailure('stopping', '', stoppingRetryAfter));
    }
  }

  fail(failure: Failure): void {
    this.answer.fail(failure);
  }

  sendText(status: number, text: string): void {
    this.answer.send(status, 'text/plain', text);
  }

  sendJson(value: object): void {
    this.answer.send(200, 'application/json', JSON.stringify(value));
  }

  get #stage(): CallerRequestStage {
    if (this.response.writableEnded) {
      return 'sending';
    }
    return this.#runner?.stage ?? 'receiving';
  }
}
