import { Agent, request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import { z } from 'zod';

import { ConnectionTail } from './connection-tail.js';
import { readStream, type ReceivedStream } from './received-stream.js';
import { describeHeaders, describePath, isWholeAnswer, type RequestPlan } from './request-plan.js';

/** A connection of a caller that stays open between its requests for as long as the gateway keeps it. Times in milliseconds. */

/** How a request ended for its caller. `status` is 0 if there was no response. */
export type Ending =
  | {
      readonly type: 'answered';
      readonly status: number;
      /** Name of the result code of a failure; empty for a success. */
      readonly name: string;
      readonly isWhole: boolean;
    }
  | { readonly type: 'broken'; readonly status: number; readonly error: string };

export interface Exchange {
  readonly id: string;
  readonly plan: RequestPlan;
  /** Key of the life of the gateway that took the connection. */
  readonly life: string;
  readonly startedAt: number;
  /** Time at which the last byte of the request had been sent; undefined if it was not. */
  readonly sentAt: number | undefined;
  /** Time at which the response began; undefined if there was none. */
  readonly headAt: number | undefined;
  readonly endedAt: number;
  readonly ending: Ending;
  /** What the caller got of a stream; undefined if there was no success or the answer is no stream. */
  readonly stream: ReceivedStream | undefined;
  /** What the caller got beside one response to its request: other heads, fields of another response, trailers and further bytes. */
  readonly strays: readonly string[];
}

const errorSchema = z.object({ error: z.object({ name: z.string() }) });

export class KeptConnection {
  readonly gateway: number;
  readonly #address: string;
  readonly #readLife: () => string;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #socket: Socket | undefined;
  #tail: ConnectionTail | undefined;
  #life = '';

  /** `readLife`: gives the key of the present life of the gateway. */
  constructor(gateway: number, address: string, readLife: () => string) {
    this.gateway = gateway;
    this.#address = address;
    this.#readLife = readLife;
  }

  /** Whether the next request goes on the connection that carried the last one. */
  get isOpen(): boolean {
    return this.#socket?.writable === true && this.#socket.readable;
  }

  close(): void {
    this.#agent.destroy();
  }

  /** Sends a request and resolves once its answer is complete or its connection has ended. */
  async send(id: string, plan: RequestPlan): Promise<Exchange> {
    const [host, port] = this.#address.split(':');
    const startedAt = performance.now();
    const life = this.#readLife();
    let sentAt: number | undefined;
    let headAt: number | undefined;
    const strays: string[] = [];
    const request = sendRequest({
      agent: this.#agent,
      host,
      port,
      method: 'POST',
      path: describePath(plan),
      headers: describeHeaders(id, plan),
    });
    request.on('socket', (socket) => {
      this.#life = socket === this.#socket ? this.#life : life;
      this.#tail = socket === this.#socket ? this.#tail : new ConnectionTail(socket);
      this.#socket = socket;
      strays.push(...(this.#tail?.begin() ?? []));
    });
    request.on('information', ({ statusCode }) => {
      strays.push(`an interim response with status ${statusCode}`);
    });
    request.on('finish', () => {
      sentAt = performance.now();
    });
    request.on('response', (response) => {
      headAt = performance.now();
      strays.push(...listForeignFields(id, response));
    });
    let hasLeft = false;
    const leaving = leaveLater(plan, () => {
      hasLeft = true;
      request.destroy();
    });
    const ended = readEnding(request, {
      id,
      plan,
      hasLeft: () => hasLeft,
      isReset: () => this.#tail?.isReset === true,
      onComplete: (response, body) => {
        strays.push(...listTrailers(response), ...(this.#tail?.end(response, body) ?? []));
      },
    });
    await Promise.all([ended, sendBody(request, plan)]);
    clearTimeout(leaving);
    const result = await ended;
    return { id, plan, life: this.#life, startedAt, sentAt, headAt, strays, ...result };
  }
}

type Received = Pick<Exchange, 'ending' | 'stream'>;
type TimedEnding = Received & Pick<Exchange, 'endedAt'>;

function leaveLater({ leaveAfter }: RequestPlan, leave: () => void): NodeJS.Timeout | undefined {
  return leaveAfter === undefined ? undefined : setTimeout(leave, leaveAfter);
}

interface ExpectedResponse {
  readonly id: string;
  readonly plan: RequestPlan;
  /** Whether the caller has closed its connection. */
  readonly hasLeft: () => boolean;
  /** Whether the gateway has reset the connection. */
  readonly isReset: () => boolean;
  /** Called with a complete response and its body. */
  readonly onComplete: (response: IncomingMessage, body: string) => void;
}

function readEnding(request: ClientRequest, expected: ExpectedResponse): Promise<TimedEnding> {
  return new Promise((resolve) => {
    const finish = (received: Received): void => {
      resolve({ ...received, endedAt: performance.now() });
    };
    let isAnswered = false;
    request.on('error', (error) => {
      if (!isAnswered) {
        const ending = { type: 'broken', status: 0, error: String(error) } as const;
        finish({ ending, stream: undefined });
      }
    });
    request.on('response', (response) => {
      isAnswered = true;
      void readResponse(request, response, expected).then(finish);
    });
  });
}

async function readResponse(
  request: ClientRequest,
  response: IncomingMessage,
  { id, plan, hasLeft, isReset, onComplete }: ExpectedResponse,
): Promise<Received> {
  const status = response.statusCode ?? 0;
  let body = '';
  let failure: Error | undefined;
  const noteFailure = (error: Error): void => {
    failure ??= error;
  };
  request.on('error', noteFailure);
  response.on('error', noteFailure);
  await pause(plan.readDelay);
  const hasLeftUnread = hasLeft();
  response.setEncoding('latin1').on('data', (text: string) => {
    body += text;
  });
  if (!response.closed) {
    await new Promise((resolve) => response.on('close', resolve));
  }
  const isSuccess = status === 200;
  const { answer } = plan;
  const stream = isSuccess && answer.type === 'stream' ? readStream(id, answer, body) : undefined;
  // Node takes a reset, and its own close, for the end of a body that ends with its connection.
  const isCutOff = isUnframed(response) && (failure !== undefined || hasLeft() || isReset());
  if (!response.complete || hasLeftUnread || isCutOff) {
    const error = `${failure === undefined ? 'ended early' : String(failure)} after ${body.length} bytes`;
    return { ending: { type: 'broken', status, error }, stream };
  }
  onComplete(response, body);
  const name = isSuccess ? '' : readErrorName(body);
  const isWhole = !isSuccess || isWholeAnswer(id, plan, body);
  return { ending: { type: 'answered', status, name, isWhole }, stream };
}

function isUnframed({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Each success names its request and has a receipt; no response names another request. */
function listForeignFields(id: string, { headers, statusCode = 0 }: IncomingMessage): string[] {
  const { 'x-attempt-id': named, 'x-response-seal': receipt } = headers;
  const isSuccess = statusCode >= 200 && statusCode < 300;
  const isForeign = isSuccess ? named !== id : named !== undefined && named !== id;
  return [
    ...(isForeign ? [`a response with the id ${String(named)}`] : []),
    ...(isSuccess && receipt === undefined ? ['a success without a receipt'] : []),
  ];
}

function listTrailers({ rawTrailers }: IncomingMessage): string[] {
  return rawTrailers.length === 0 ? [] : [`trailers ${rawTrailers.join()}`];
}

function readErrorName(body: string): string {
  try {
    return errorSchema.parse(JSON.parse(body)).error.name;
  } catch {
    return body.slice(0, 80);
  }
}

/** Sends the pieces at equal intervals; stops once the connection has ended. */
async function sendBody(request: ClientRequest, { body }: RequestPlan): Promise<void> {
  const { bytes, pieces, duration } = body;
  request.flushHeaders();
  for (let piece = 0; piece < pieces; piece += 1) {
    if (piece > 0) {
      await pause(duration / (pieces - 1));
    }
    if (request.destroyed) {
      return;
    }
    const from = Math.floor((bytes * piece) / pieces);
    const until = Math.floor((bytes * (piece + 1)) / pieces);
    if (until > from) {
      request.write('.'.repeat(until - from));
    }
  }
  request.end();
}
