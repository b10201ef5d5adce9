import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import { initialControlCount } from '../deployment.js';
import type { PlainService } from '../plain-service.js';
import type { TestEngine } from '../test-engine.js';
import { causeFaults } from './cause-faults.js';
import type { SoakProcess, SoakSignal } from './soak-process.js';
import type { ProcessKind, SoakProcesses } from './soak-processes.js';

/** Stops in series, with further signals, and other faults beside them. They overlap. Times in milliseconds. */

type FaultKind =
  | 'gatewayStop'
  | 'gatewaySeries'
  | 'gatewayFrozenStop'
  | 'gatewayFreeze'
  | 'gatewayKill'
  | 'hangUpSeries'
  | 'controlStop'
  | 'controlSeries'
  | 'controlFrozenStop'
  | 'controlKill'
  | 'sidecarStop'
  | 'sidecarSeries'
  | 'sidecarFrozenStop'
  | 'sidecarKill'
  | 'stopOfEachKind'
  | 'engineCrash'
  | 'configurationChange';

/** Number of times that each kind is among those that are drawn. */
const weights: Readonly<Record<FaultKind, number>> = {
  gatewayStop: 4,
  gatewaySeries: 4,
  gatewayFrozenStop: 2,
  gatewayFreeze: 1,
  gatewayKill: 1,
  hangUpSeries: 2,
  controlStop: 1,
  controlSeries: 1,
  controlFrozenStop: 1,
  controlKill: 1,
  sidecarStop: 2,
  sidecarSeries: 1,
  sidecarFrozenStop: 1,
  sidecarKill: 1,
  stopOfEachKind: 2,
  engineCrash: 1,
  configurationChange: 2,
};

const drawnKinds = Object.entries(weights).flatMap(([kind, weight]) => {
  return Array.from({ length: weight }, () => kind as FaultKind);
});

const processKinds: readonly ProcessKind[] = ['gateway', 'control', 'sidecar'];

/** Share of the stops during which further signals come, and the signals in the proportions in which they are drawn. */
const repeatShare = 0.6;
const maximumRepeats = 3;
const repeatedSignals: readonly SoakSignal[] = ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP'];
/** Share of the starts that get SIGTERM, and the longest time from the start to it. */
const earlyShare = 0.3;
const longestEarly = 500;
const longestFreeze = 2500;
/** Longest time between the beginning of a freeze and a signal. */
const longestOffset = 2000;
/** Longest pauses in a series that does not wait for the end of each process. */
const longestSeriesPause = 1500;
const changePause = 100;
const changeLimit = 5000;
const firstVersion = 10;

export interface StopFaultsOptions {
  readonly processes: SoakProcesses;
  readonly engines: readonly TestEngine[];
  readonly service: PlainService;
  readonly random: RandomSource;
  /** How long a stopping process may finish what it has begun. */
  readonly grace: number;
  readonly note: (text: string) => void;
}

export class StopFaults {
  readonly #options: StopFaultsOptions;
  #end = 0;
  /** Whether a control host is down: two at a time leave no majority. */
  #isControlDown = false;
  #isChanging = false;
  #version = firstVersion;

  constructor(options: StopFaultsOptions) {
    this.#options = options;
  }

  /** Causes faults until the time is over and resolves when all of them have ended. */
  run(duration: number, meanInterval: number): Promise<void> {
    const { random } = this.#options;
    this.#end = performance.now() + duration;
    const cause = (): Promise<void> => this.#cause(this.#draw(drawnKinds));
    return causeFaults({ duration, meanInterval, random, cause });
  }

  /** Stops all gateways at the same moment, with further signals, and does not start them again. */
  async stopAllGateways(): Promise<void> {
    await Promise.all(
      this.#options.processes.gateway.processes.map(async (gateway) => {
        await Promise.all([gateway.stop(), this.#repeatSignals(gateway)]);
      }),
    );
  }

  async #cause(kind: FaultKind): Promise<void> {
    switch (kind) {
      case 'gatewayStop':
        return this.#stop(this.#drawProcess('gateway'));
      case 'gatewaySeries':
        return this.#runSeries('gateway', (gateway) => this.#stop(gateway));
      case 'gatewayFrozenStop':
        return this.#stopFrozen(this.#drawProcess('gateway'));
      case 'gatewayFreeze':
        return this.#freeze(this.#drawProcess('gateway'));
      case 'gatewayKill':
        return this.#drawProcess('gateway').kill();
      case 'hangUpSeries':
        return this.#runSeries(this.#draw(processKinds), (process) => {
          if (process.hasWritten) {
            process.signal('SIGHUP');
          }
          return Promise.resolve();
        });
      case 'controlStop':
        return this.#withControl(() => this.#stop(this.#drawProcess('control')));
      case 'controlSeries':
        return this.#withControl(async () => {
          for (const control of this.#options.processes.control.processes) {
            await this.#stop(control);
          }
        });
      case 'controlFrozenStop':
        return this.#withControl(() => this.#stopFrozen(this.#drawProcess('control')));
      case 'controlKill':
        return this.#withControl(() => this.#drawProcess('control').kill());
      case 'sidecarStop':
        return this.#stop(this.#drawProcess('sidecar'));
      case 'sidecarSeries':
        return this.#runSeries('sidecar', (sidecar) => this.#stop(sidecar));
      case 'sidecarFrozenStop':
        return this.#stopFrozen(this.#drawProcess('sidecar'));
      case 'sidecarKill':
        return this.#drawProcess('sidecar').kill();
      case 'stopOfEachKind':
        await Promise.all([
          this.#stop(this.#drawProcess('gateway')),
          this.#withControl(() => this.#stop(this.#drawProcess('control'))),
          this.#stop(this.#drawProcess('sidecar')),
        ]);
        return;
      case 'engineCrash': {
        const engine = this.#draw(this.#options.engines);
        this.#options.note(`engine ${engine.id} crashes`);
        return engine.restart();
      }
      case 'configurationChange':
        return this.#changeConfiguration();
    }
  }

  /** Acts on all processes of a kind; half of the time on each only once the one before it is done. */
  async #runSeries(kind: ProcessKind, act: (process: SoakProcess) => Promise<void>): Promise<void> {
    const { processes, note, random } = this.#options;
    const isOneByOne = random.integerBelow(2) === 0;
    const acts: Promise<void>[] = [];
    note(`series of ${kind}s`);
    for (const process of processes[kind].processes) {
      if (performance.now() >= this.#end) {
        break;
      }
      const done = act(process);
      acts.push(done);
      await (isOneByOne ? done : pause(random.integerBelow(longestSeriesPause)));
    }
    await Promise.all(acts);
  }

  async #stop(process: SoakProcess): Promise<void> {
    const { random } = this.#options;
    await Promise.all([process.restart(), this.#repeatSignals(process)]);
    while (random.fraction() < earlyShare) {
      await pause(random.integerBelow(longestEarly));
      await process.restart();
    }
  }

  /** The process is frozen before it is stopped or while it stops. */
  async #stopFrozen(process: SoakProcess): Promise<void> {
    await Promise.all([this.#freezeLater(process), this.#stopLater(process)]);
  }

  async #freezeLater(process: SoakProcess): Promise<void> {
    await pause(this.#options.random.integerBelow(longestOffset));
    await this.#freeze(process);
  }

  async #stopLater(process: SoakProcess): Promise<void> {
    await pause(this.#options.random.integerBelow(longestOffset));
    await this.#stop(process);
  }

  #freeze(process: SoakProcess): Promise<void> {
    return process.freeze(this.#options.random.integerBelow(longestFreeze));
  }

  async #repeatSignals(process: SoakProcess): Promise<void> {
    const { random } = this.#options;
    if (random.fraction() >= repeatShare) {
      return;
    }
    const { life } = process;
    const count = 1 + random.integerBelow(maximumRepeats);
    await Promise.all(Array.from({ length: count }, () => this.#repeatSignal(process, life)));
  }

  async #repeatSignal(process: SoakProcess, life: string): Promise<void> {
    const { random, grace } = this.#options;
    const signal = this.#draw(repeatedSignals);
    await pause(random.integerBelow(grace));
    if (process.life === life && process.isRunning) {
      process.signal(signal);
    }
  }

  async #withControl(act: () => Promise<void>): Promise<void> {
    if (this.#isControlDown) {
      return;
    }
    this.#isControlDown = true;
    await act();
    this.#isControlDown = false;
  }

  /** Offers the next version to one control host after the other until it is accepted. */
  async #changeConfiguration(): Promise<void> {
    const { service, note } = this.#options;
    if (this.#isChanging) {
      return;
    }
    this.#isChanging = true;
    this.#version += 1;
    const version = this.#version;
    const end = performance.now() + changeLimit;
    let isAccepted = false;
    for (let call = 0; !isAccepted && performance.now() < end; call += 1) {
      await pause(changePause);
      isAccepted = await service.putManifest(call % initialControlCount, version, {
        max_conns: 100 + version,
      });
    }
    note(`manifest ${version} was ${isAccepted ? '' : 'not '}accepted`);
    this.#isChanging = false;
  }

  #drawProcess(kind: ProcessKind): SoakProcess {
    return this.#draw(this.#options.processes[kind].processes);
  }

  #draw<Value>(values: readonly Value[]): Value {
    return values[this.#options.random.integerBelow(values.length)] as Value;
  }
}
