import { setTimeout as pause } from 'node:timers/promises';

import { Client } from 'undici';

import type { RandomSource } from '../../../src/common/index.js';
import { createStreamHeaders, streamPath, type PlatformDeployment } from '../deployment.js';
import type { ProcessLives } from './process-lives.js';
import { findUsableSince } from './usable-head.js';

/** Callers of a soak. Each keeps its connection to a gateway until that process closes it, and then goes to the next gateway. */

export const idSeparator = ':';
/** Longest pause of a caller between two requests, in milliseconds. */
const maximumPause = 60;
const reconnectDelay = 50;

export interface CallerResult {
  readonly id: string;
  readonly startedAt: number;
  readonly endedAt: number;
  /** 0 if there was no response. */
  readonly status: number;
  readonly body: string;
  /** Whether the response was complete. */
  readonly isWhole: boolean;
  /** For a rejected request, time since when an engine could have served it; undefined if none could. */
  readonly usableSince: number | undefined;
}

/** Header fields of the request with the given id, in addition to the usual ones. */
export type DescribeHeaders = (id: string) => Readonly<Record<string, string>>;

export class SoakCallers {
  readonly results: CallerResult[] = [];
  readonly #deployment: PlatformDeployment;
  readonly #lives: ProcessLives;
  readonly #random: RandomSource;
  readonly #describeHeaders: DescribeHeaders;
  readonly #running: readonly Promise<void>[];
  #isStopping = false;

  constructor(
    deployment: PlatformDeployment,
    lives: ProcessLives,
    random: RandomSource,
    callerCount: number,
    describeHeaders: DescribeHeaders = () => ({}),
  ) {
    this.#deployment = deployment;
    this.#lives = lives;
    this.#random = random;
    this.#describeHeaders = describeHeaders;
    this.#running = Array.from({ length: callerCount }, (_, caller) => this.#run(caller));
  }

  async stop(): Promise<void> {
    this.#isStopping = true;
    await Promise.all(this.#running);
  }

  async #run(caller: number): Promise<void> {
    let gateway = caller % this.#lives.processCount;
    let client = this.#connect(gateway);
    for (let count = 0; !this.#isStopping; count += 1) {
      const id = [this.#lives.currentKey(gateway), caller, count].join(idSeparator);
      const result = await requestStream(client, id, this.#describeHeaders(id));
      const { engines } = this.#deployment;
      const usableSince = result.status === 503 ? findUsableSince(engines) : undefined;
      this.results.push({ ...result, usableSince });
      if (!result.isWhole) {
        await client.destroy();
        await pause(reconnectDelay);
        gateway = (gateway + 1) % this.#lives.processCount;
        client = this.#connect(gateway);
      }
      await pause(this.#random.integerBelow(maximumPause));
    }
    await client.destroy();
  }

  #connect(gateway: number): Client {
    return new Client(`http://${this.#deployment.gatewayAddress(gateway)}`, { pipelining: 1 });
  }
}

async function requestStream(
  client: Client,
  id: string,
  headers: Readonly<Record<string, string>>,
): Promise<Omit<CallerResult, 'usableSince'>> {
  const startedAt = performance.now();
  let status = 0;
  try {
    const response = await client.request({
      method: 'POST',
      path: streamPath,
      body: JSON.stringify({ ask: id }),
      headers: { ...createStreamHeaders(id), ...headers },
    });
    status = response.statusCode;
    const body = await response.body.text();
    return { id, startedAt, endedAt: performance.now(), status, body, isWhole: true };
  } catch (error) {
    const body = String(error);
    return { id, startedAt, endedAt: performance.now(), status, body, isWhole: false };
  }
}
