/** What a control host has to bear when it, or everything around it as well, starts again at one moment. */
import { rm } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

import { reservePort, SwallowingRelay, waitFor } from '../../__tests__/support/index.js';
import {
  askUsage,
  formatFigure,
  formatMarkdownTable,
  reportProgress,
  startRole,
  type RoleProcess,
} from '../support/index.js';
import { createDataFolder } from './control-role.js';
import type { MeasureOptions } from './pair.js';

/** Long enough that the waits between connections of all watchers have grown. */
const outageMilliseconds = 15_000;
const patience = 120_000;

/** From the moment the control host serves again until the next change is in force at every watcher. */
interface Recovery {
  readonly seconds: number;
  readonly controlCpu: number;
  readonly bytes: number;
}

interface RestartMeasurement {
  readonly size: number;
  /** Control alone was away; watchers still hold their state. */
  readonly control: Recovery;
  /** Watchers are new as well and need the whole state. */
  readonly everything: Recovery;
}

const header = [
  'watchers',
  'control restarted: s until a change is in force',
  'control CPU ms',
  'bytes',
  'everything restarted: s until a change is in force',
  'control CPU ms',
  'bytes',
];

/** One control host, many watchers, a configuration of 100 KB. */
export async function measureRestarts(options: MeasureOptions): Promise<string> {
  const rows: string[][] = [];
  for (const size of options.sizes) {
    reportProgress(`restart with ${size} watchers`);
    rows.push(createRow(await measureSize(size)));
  }
  return formatMarkdownTable(header, rows);
}

async function measureSize(size: number): Promise<RestartMeasurement> {
  const deployment = await Deployment.start(size);
  try {
    await deployment.bringIntoForce();
    await deployment.stopControl();
    await sleep(outageMilliseconds);
    const control = await deployment.measureRecovery();
    await deployment.stopControl();
    await deployment.stopWatchers();
    await deployment.startWatchers();
    const everything = await deployment.measureRecovery();
    return { size, control, everything };
  } finally {
    await deployment.stop();
  }
}

/** One control host that can start again on its data folder, and watchers behind a relay that counts bytes. */
class Deployment {
  readonly #size: number;
  readonly #address: string;
  readonly #folder: string;
  readonly #relay: SwallowingRelay;
  #control: RoleProcess | undefined;
  #watchers: RoleProcess | undefined;

  private constructor(size: number, address: string, folder: string, relay: SwallowingRelay) {
    this.#size = size;
    this.#address = address;
    this.#folder = folder;
    this.#relay = relay;
  }

  static async start(size: number): Promise<Deployment> {
    const address = `127.0.0.1:${await reservePort()}`;
    const relay = await SwallowingRelay.open(address);
    const deployment = new Deployment(size, address, await createDataFolder(), relay);
    await deployment.#startControl();
    await deployment.startWatchers();
    return deployment;
  }

  async startWatchers(): Promise<void> {
    this.#watchers = await startRole('watchers', [this.#relay.address, String(this.#size)]);
  }

  async stopWatchers(): Promise<void> {
    await this.#watchers?.stop();
  }

  async stopControl(): Promise<void> {
    await this.#control?.stop();
  }

  async measureRecovery(): Promise<Recovery> {
    const bytesBefore = this.#relay.carriedBytes;
    const control = await this.#startControl();
    const start = performance.now();
    const before = await askUsage(control);
    await this.bringIntoForce();
    const seconds = (performance.now() - start) / 1000;
    const after = await askUsage(control);
    return {
      seconds,
      controlCpu: after.cpuMilliseconds - before.cpuMilliseconds,
      bytes: this.#relay.carriedBytes - bytesBefore,
    };
  }

  /** Makes a change and waits until every watcher has it. */
  async bringIntoForce(): Promise<void> {
    const revision = (await this.#control?.ask('publish')) ?? '';
    await waitFor(
      `revision ${revision} at ${this.#size} watchers`,
      async () => Number(await this.#watchers?.ask(revision)) === this.#size,
      patience,
    );
  }

  async stop(): Promise<void> {
    await this.stopWatchers();
    await this.stopControl();
    await this.#relay.close();
    await rm(this.#folder, { recursive: true });
  }

  async #startControl(): Promise<RoleProcess> {
    this.#control = await startRole('control', [this.#address, this.#folder]);
    return this.#control;
  }
}

function createRow({ size, control, everything }: RestartMeasurement): string[] {
  return [
    String(size),
    ...[control, everything].flatMap(({ seconds, controlCpu, bytes }) =>
      [seconds, controlCpu, bytes].map(formatFigure),
    ),
  ];
}
