import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import type { RelayedControl } from '../relayed-control.js';
import { causeFaults } from './cause-faults.js';

/** Faults of control hosts in a soak. They come in series and overlap; at most one disk is lost, with the final fault. */

type FaultKind = 'kill' | 'stop' | 'freeze' | 'cut' | 'silence';

/** Kinds in the proportions in which they are drawn. */
const drawnKinds: readonly FaultKind[] = [
  'kill',
  'stop',
  'freeze',
  'freeze',
  'cut',
  'cut',
  'silence',
  'silence',
];

/** How the last fault strikes. */
const finalKinds = ['kill all', 'lose a disk', 'lose a disk and kill all'] as const;

const longestDowntime = 1500;
const longestFreeze = 2500;
const longestCut = 4000;
const reconnectTime = 2000;

export interface ControlFaultsOptions {
  readonly control: RelayedControl;
  readonly random: RandomSource;
}

export class ControlFaults {
  /** What was done and when, for the message of a failed test. */
  readonly log: string[] = [];
  readonly #options: ControlFaultsOptions;
  readonly #startedAt = performance.now();
  readonly #busyHosts = new Set<number>();

  constructor(options: ControlFaultsOptions) {
    this.#options = options;
  }

  /** Causes faults until the time is over and resolves when all of them have ended. */
  run(duration: number, meanInterval: number): Promise<void> {
    const { random } = this.#options;
    const cause = (): Promise<void> => this.#cause(this.#draw(drawnKinds));
    return causeFaults({ duration, meanInterval, random, cause });
  }

  /** Strikes once more, half of the time with connections that go silent after the hosts are started again. */
  async strikeFinally(): Promise<void> {
    const { control, random } = this.#options;
    const kind = this.#draw(finalKinds);
    const wiped = kind === 'kill all' ? undefined : random.integerBelow(control.hostCount);
    const all = Array.from({ length: control.hostCount }, (_, host) => host);
    const struck = kind === 'lose a disk' ? all.filter((host) => host === wiped) : all;
    this.#note(`final fault: ${kind}, disk of ${String(wiped)}`);
    await Promise.all(struck.map((host) => control.kill(host)));
    if (wiped !== undefined) {
      await control.wipe(wiped);
    }
    await Promise.all(
      struck.map(async (host) => {
        await pause(random.integerBelow(longestDowntime));
        control.start(host);
      }),
    );
    if (random.integerBelow(2) === 0) {
      // By then the hosts have called each other again.
      await pause(reconnectTime);
      this.#note('silence');
      await control.silenceConnections();
    }
  }

  async #cause(kind: FaultKind): Promise<void> {
    const { control } = this.#options;
    switch (kind) {
      case 'kill':
        return this.#withHost(kind, longestDowntime, async (host, during) => {
          await control.kill(host);
          await during();
          control.start(host);
        });
      case 'stop':
        return this.#withHost(kind, longestDowntime, async (host, during) => {
          await control.stopHost(host);
          await during();
          control.start(host);
        });
      case 'freeze':
        return this.#withHost(kind, longestFreeze, async (host, during) => {
          control.signal(host, 'SIGSTOP');
          await during();
          control.signal(host, 'SIGCONT');
        });
      case 'cut':
        return this.#withHost(kind, longestCut, async (host, during) => {
          await control.setLinks(host, 'swallow');
          await during();
          await control.setLinks(host, 'carry');
        });
      case 'silence':
        this.#note(kind);
        return control.silenceConnections();
    }
  }

  /** Acts on a host that no other fault concerns; `during` lasts as long as the fault. */
  async #withHost(
    kind: FaultKind,
    longest: number,
    act: (host: number, during: () => Promise<void>) => Promise<void>,
  ): Promise<void> {
    const { control, random } = this.#options;
    const host = random.integerBelow(control.hostCount);
    if (this.#busyHosts.has(host)) {
      return;
    }
    this.#busyHosts.add(host);
    this.#note(`${kind} ${host}`);
    await act(host, async () => {
      await pause(random.integerBelow(longest));
    });
    this.#note(`end of ${kind} ${host}`);
    this.#busyHosts.delete(host);
  }

  #draw<Value>(values: readonly Value[]): Value {
    return values[this.#options.random.integerBelow(values.length)] as Value;
  }

  #note(text: string): void {
    this.log.push(`${Math.round(performance.now() - this.#startedAt)} ms: ${text}`);
  }
}
