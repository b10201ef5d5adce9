import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import type { PlatformDeployment } from '../deployment.js';
import { KeptConnection, type Exchange } from './kept-connection.js';
import type { ProcessLives } from './process-lives.js';
import { drawRequestPlan, type RequestPlan } from './request-plan.js';

/** Callers of the stop soak. Each uses its open connection until the gateway closes it, and only then connects again. */

/**
 * What a caller does once its connection is closed. `stays`: it connects to the same gateway for as long as that listens. `moves`: as
 * behind a load balancer, it no longer connects to a gateway that got SIGTERM a while ago.
 */
type ConnectHabit = 'stays' | 'moves';

/** Time after SIGTERM at which a load balancer has moved new connections away, in milliseconds. */
const moveTime = 2000;
/** Longest pauses between two requests of callers, in milliseconds; each caller has one of them. */
const longestPauses = [1, 1, 200, 1500] as const;
const reconnectDelay = 50;

interface Caller {
  readonly index: number;
  readonly habit: ConnectHabit;
  readonly longestPause: number;
}

export interface StopCallersOptions {
  readonly deployment: PlatformDeployment;
  readonly lives: ProcessLives;
  readonly random: RandomSource;
  readonly callerCount: number;
  /** Draws the next request of a caller, whose last one is given, if there was one. */
  readonly drawPlan?: (random: RandomSource, last: Exchange | undefined) => RequestPlan;
}

export class StopCallers {
  /** The requests whose connection was established. */
  readonly exchanges: Exchange[] = [];
  /** Number of connections that were not accepted. */
  refusedConnections = 0;
  readonly #options: StopCallersOptions;
  readonly #running: readonly Promise<void>[];
  #isStopping = false;

  constructor(options: StopCallersOptions) {
    this.#options = options;
    this.#running = Array.from({ length: options.callerCount }, (_, index) =>
      this.#run({
        index,
        habit: index % 2 === 0 ? 'stays' : 'moves',
        longestPause: longestPauses[Math.floor(index / 2) % longestPauses.length] ?? 1,
      }),
    );
  }

  async stop(): Promise<void> {
    this.#isStopping = true;
    await Promise.all(this.#running);
  }

  async #run(caller: Caller): Promise<void> {
    const { random, drawPlan = drawRequestPlan } = this.#options;
    let last: Exchange | undefined;
    let connection = this.#connect(caller.index % this.#options.lives.processCount);
    for (let count = 0; !this.#isStopping; count += 1) {
      const id = `${caller.index}:${count}`;
      const exchange = await connection.send(id, drawPlan(random, last));
      last = exchange;
      const isRefused = isRefusedConnection(exchange);
      if (isRefused) {
        this.refusedConnections += 1;
        await pause(reconnectDelay);
      } else {
        this.exchanges.push(exchange);
      }
      await pause(random.integerBelow(caller.longestPause));
      if (!connection.isOpen) {
        connection.close();
        connection = this.#connect(this.#chooseGateway(caller, connection.gateway, isRefused));
      }
    }
    connection.close();
  }

  #chooseGateway({ habit }: Caller, last: number, isRefused: boolean): number {
    const { lives, random } = this.#options;
    const all = Array.from({ length: lives.processCount }, (_, gateway) => gateway);
    switch (habit) {
      case 'stays':
        return isRefused ? (last + 1) % all.length : last;
      case 'moves': {
        const latest = performance.now() - moveTime;
        const offered = all.filter((gateway) => {
          return (lives.current(gateway).stoppedAt ?? Number.POSITIVE_INFINITY) > latest;
        });
        return offered[random.integerBelow(Math.max(1, offered.length))] ?? last;
      }
    }
  }

  #connect(gateway: number): KeptConnection {
    const { deployment, lives } = this.#options;
    const address = deployment.gatewayAddress(gateway);
    return new KeptConnection(gateway, address, () => lives.currentKey(gateway));
  }
}

function isRefusedConnection({ ending }: Exchange): boolean {
  return ending.type === 'broken' && ending.error.includes('ECONNREFUSED');
}
