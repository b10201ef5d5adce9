import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import { createPlainManifest } from '../plain-manifest.js';
import type { CallOutcome, RelayedControl } from '../relayed-control.js';

/** Operators of a soak, who change the configuration and read it back at any host, and what control may answer them. */

const operatorCount = 2;
const readerCount = 3;
/** Longest pause of an operator between two calls, in milliseconds. */
const maximumPause = 120;
const firstVersion = 1;

interface AcknowledgedChange {
  readonly version: number;
  readonly at: number;
}

export interface ConfigurationLoadOptions {
  readonly control: RelayedControl;
  readonly random: RandomSource;
  /** Routes of each manifest in addition to the one that its version changes. */
  readonly routeCount: number;
}

export class ConfigurationLoad {
  /** What control must not do; empty if it kept its promises. */
  readonly faults: string[] = [];
  readCount = 0;
  readonly #options: ConfigurationLoadOptions;
  readonly #sent = new Map<number, string>();
  readonly #acknowledged: AcknowledgedChange[] = [];
  #running: Promise<unknown> = Promise.resolve();
  #nextVersion = firstVersion;
  #isStopping = false;

  constructor(options: ConfigurationLoadOptions) {
    this.#options = options;
  }

  get newestAcknowledged(): number {
    return this.#findAcknowledgedBefore(Number.POSITIVE_INFINITY);
  }

  get changeCount(): number {
    return this.#acknowledged.length;
  }

  /** Applies the first manifest, then changes and reads until `stop`. */
  async start(): Promise<void> {
    await this.change();
    this.#running = Promise.all([
      ...Array.from({ length: operatorCount }, () => this.#repeat(() => this.change())),
      ...Array.from({ length: readerCount }, () =>
        this.#repeat(async () => {
          await this.read(this.#drawHost());
        }),
      ),
    ]);
  }

  /** Resolves once no call is open. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#running;
  }

  /** Sends the next version unchanged to any host until one acknowledges it; gives up when the load stops. */
  async change(): Promise<void> {
    const { control } = this.#options;
    const version = this.#nextVersion;
    this.#nextVersion += 1;
    const manifest = this.#createManifest(version);
    this.#sent.set(version, manifest);
    while (!this.#isStopping) {
      const outcome = await control.putAt(this.#drawHost(), manifest);
      if (outcome.type === 'answered' && outcome.status === 200) {
        this.#acknowledged.push({ version, at: performance.now() });
        return;
      }
      if (outcome.type === 'answered' && outcome.status < 500) {
        this.faults.push(`version ${version} was refused with ${outcome.status}`);
        return;
      }
      await pause(maximumPause);
    }
  }

  /** Reads at one host and checks what it answers against what was acknowledged before. */
  async read(host: number): Promise<CallOutcome> {
    const expected = this.#findAcknowledgedBefore(performance.now());
    const outcome = await this.#options.control.read(host);
    this.readCount += 1;
    if (outcome.type === 'silence' || outcome.status >= 500) {
      return outcome;
    }
    const version = readVersion(outcome.body);
    if (outcome.status !== 200 || version < expected) {
      this.faults.push(`host ${host} gave ${outcome.status}, ${version} instead of ${expected}`);
    }
    if (outcome.body !== this.#sent.get(version)) {
      this.faults.push(`host ${host} gave other content as version ${version}`);
    }
    return outcome;
  }

  #findAcknowledgedBefore(time: number): number {
    const versions = this.#acknowledged.filter(({ at }) => at < time).map(({ version }) => version);
    return Math.max(0, ...versions);
  }

  async #repeat(act: () => Promise<void>): Promise<void> {
    while (!this.#isStopping) {
      await act();
      await pause(this.#options.random.integerBelow(maximumPause));
    }
  }

  #drawHost(): number {
    const { control, random } = this.#options;
    return random.integerBelow(control.hostCount);
  }

  #createManifest(version: number): string {
    const { routeCount } = this.#options;
    const names = [
      `lookup-${version}`,
      ...Array.from({ length: routeCount }, (_, index) => `route-${index}`),
    ];
    return createPlainManifest(version, names);
  }
}

function readVersion(manifest: string): number {
  return (JSON.parse(manifest) as { readonly version: number }).version;
}
