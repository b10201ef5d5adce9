import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import type { PlatformDeployment } from '../deployment.js';
import { drainTime } from '../received-requests.js';
import type { TestEngine } from '../test-engine.js';
import { causeFaults } from './cause-faults.js';
import type { ProcessLives } from './process-lives.js';

/** Faults, restarts and changes of a soak. They come in series and overlap. */

type FaultKind =
  | 'pause'
  | 'pauseOfAllHeads'
  | 'departure'
  | 'gatewayStop'
  | 'gatewayKill'
  | 'gatewayFreeze'
  | 'gatewayHangUp'
  | 'sidecarKill'
  | 'controlKill'
  | 'configurationChange';

/** Kinds in the proportions in which they are drawn. */
const drawnKinds: readonly FaultKind[] = [
  'pause',
  'pause',
  'pause',
  'pauseOfAllHeads',
  'departure',
  'departure',
  'gatewayStop',
  'gatewayKill',
  'gatewayFreeze',
  'gatewayHangUp',
  'sidecarKill',
  'controlKill',
  'configurationChange',
];

const controlCount = 3;
const restartDelay = 300;

export interface SoakFaultsOptions {
  readonly deployment: PlatformDeployment;
  readonly lives: ProcessLives;
  readonly random: RandomSource;
}

export class SoakFaults {
  /** What was done and when, for the message of a failed test. */
  readonly log: string[] = [];
  readonly #options: SoakFaultsOptions;
  readonly #startedAt = performance.now();
  readonly #busyGateways = new Set<number>();
  readonly #busyEngines = new Set<TestEngine>();
  #isControlDown = false;
  #version = 10;

  constructor(options: SoakFaultsOptions) {
    this.#options = options;
  }

  /** Causes faults until the time is over and resolves when all of them have ended. */
  run(duration: number, meanInterval: number): Promise<void> {
    const { random } = this.#options;
    const cause = (): Promise<void> => this.#cause(this.#draw(drawnKinds));
    return causeFaults({ duration, meanInterval, random, cause });
  }

  async #cause(kind: FaultKind): Promise<void> {
    switch (kind) {
      case 'pause':
        return this.#pauseEngine(this.#draw(this.#options.deployment.findHeads()));
      case 'pauseOfAllHeads':
        await Promise.all(
          this.#options.deployment.findHeads().map((head) => this.#pauseEngine(head)),
        );
        return;
      case 'departure':
        return this.#removeEngine(this.#draw(this.#options.deployment.findHeads()));
      case 'gatewayStop':
        return this.#withGateway((gateway) => this.#restartGateway(gateway, 'SIGTERM'));
      case 'gatewayKill':
        return this.#withGateway((gateway) => this.#restartGateway(gateway, 'SIGKILL'));
      case 'gatewayFreeze':
        return this.#withGateway((gateway) => this.#freezeGateway(gateway));
      case 'gatewayHangUp':
        return this.#withGateway((gateway) => {
          this.#options.deployment.gatewayProgram(gateway).signal('SIGHUP');
          return Promise.resolve();
        });
      case 'sidecarKill': {
        const { deployment, random } = this.#options;
        const index = random.integerBelow(deployment.engines.length);
        this.#note(`sidecar ${index} killed`);
        await deployment.restartSidecar(index);
        return;
      }
      case 'controlKill':
        return this.#restartControl();
      case 'configurationChange':
        this.#version += 1;
        this.#note(`manifest ${this.#version}`);
        return this.#options.deployment.applyManifest(this.#version);
    }
  }

  /** The engine rejects all requests for some seconds and asks for pauses that may outlast that time. */
  async #pauseEngine(engine: TestEngine | undefined): Promise<void> {
    const { random } = this.#options;
    if (engine === undefined || this.#busyEngines.has(engine)) {
      return;
    }
    this.#busyEngines.add(engine);
    const seconds = 0.8 + 2.4 * random.fraction();
    this.#note(`${engine.id} asks for pauses of ${seconds.toFixed(2)} s`);
    engine.retryAfter = seconds;
    await pause(1000 + random.integerBelow(4000));
    engine.retryAfter = undefined;
    this.#busyEngines.delete(engine);
  }

  /** Only the responses say that the engine is leaving; control learns of it when the engine ends. */
  async #removeEngine(engine: TestEngine | undefined): Promise<void> {
    if (engine === undefined || this.#busyEngines.has(engine)) {
      return;
    }
    this.#busyEngines.add(engine);
    this.#note(`${engine.id} is leaving`);
    engine.isLeaving = true;
    await pause(drainTime + this.#options.random.integerBelow(2000));
    await engine.restart();
    this.#busyEngines.delete(engine);
  }

  async #withGateway(act: (gateway: number) => Promise<void>): Promise<void> {
    const gateway = this.#options.random.integerBelow(this.#options.lives.processCount);
    if (this.#busyGateways.has(gateway)) {
      return;
    }
    this.#busyGateways.add(gateway);
    await act(gateway);
    this.#busyGateways.delete(gateway);
  }

  async #restartGateway(gateway: number, signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const { deployment, lives } = this.#options;
    this.#note(`gateway ${gateway} gets ${signal}`);
    if (signal === 'SIGTERM') {
      lives.noteStop(gateway);
    }
    const program = deployment.gatewayProgram(gateway);
    program.signal(signal);
    await program.waitForExit();
    lives.noteRestart(gateway);
    deployment.restartGateway(gateway);
  }

  async #freezeGateway(gateway: number): Promise<void> {
    const { deployment, lives, random } = this.#options;
    this.#note(`gateway ${gateway} is frozen`);
    const from = performance.now();
    const program = deployment.gatewayProgram(gateway);
    program.signal('SIGSTOP');
    await pause(500 + random.integerBelow(2000));
    program.signal('SIGCONT');
    lives.noteFreeze(gateway, from);
  }

  async #restartControl(): Promise<void> {
    const { deployment, random } = this.#options;
    if (this.#isControlDown) {
      return;
    }
    this.#isControlDown = true;
    const index = random.integerBelow(controlCount);
    this.#note(`control ${index} killed`);
    deployment.killControl(index);
    await pause(restartDelay + random.integerBelow(1500));
    deployment.restartControl(index);
    this.#isControlDown = false;
  }

  #draw<Value>(values: readonly Value[]): Value {
    return values[this.#options.random.integerBelow(Math.max(1, values.length))] as Value;
  }

  #note(text: string): void {
    this.log.push(`${Math.round(performance.now() - this.#startedAt)} ms: ${text}`);
  }
}
