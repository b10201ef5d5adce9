import { mkdir, mkdtemp, readdir, rm, stat } from 'node:fs/promises';
import { join, resolve } from 'node:path';

import {
  ProgramGroup,
  reservePort,
  SwallowingRelay,
  waitFor,
  type RunningProgram,
} from '../../__tests__/support/index.js';
import { viewSchemas, type ControlView } from '../../src/control/state/index.js';
import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { RpcClientPool } from '../../src/wire/index.js';

const hostCount = 3;
const callTimeout = 2000;

/** One control host as a process of its own, whose peers reach it through a relay that counts bytes. */
export interface MeasuredHost {
  readonly name: string;
  readonly address: string;
  readonly relay: SwallowingRelay;
  readonly dataFolder: string;
  readonly settings: string;
}

/** Three control hosts with their data folders on the disk of the working folder. */
export class ControlGroup {
  readonly hosts: readonly MeasuredHost[];
  readonly #group: ProgramGroup;
  readonly #folder: string;
  readonly #clients = new RpcClientPool();
  readonly #programs = new Map<MeasuredHost, RunningProgram>();

  private constructor(group: ProgramGroup, folder: string, hosts: readonly MeasuredHost[]) {
    this.#group = group;
    this.#folder = folder;
    this.hosts = hosts;
  }

  /** With the times of the settings' defaults, or with another heartbeat. */
  static async start(heartbeatMilliseconds?: number): Promise<ControlGroup> {
    const group = await ProgramGroup.create();
    await mkdir('run', { recursive: true });
    const folder = await mkdtemp(resolve('run', 'bench-consensus-'));
    const places = await Promise.all(
      Array.from({ length: hostCount }, async (_, position) => {
        const address = `127.0.0.1:${await reservePort()}`;
        const relay = await SwallowingRelay.open(address);
        return { name: `control-${position + 1}`, address, relay };
      }),
    );
    const voters = places.map(({ name, relay }) => ({ name, address: relay.address }));
    const hosts = await Promise.all(
      places.map(async (place): Promise<MeasuredHost> => {
        const { name, address } = place;
        const dataFolder = join(folder, name);
        const settings = { name, region: 'bench', failureDomain: name, listen: address, voters };
        const timeouts =
          heartbeatMilliseconds === undefined
            ? {}
            : { heartbeatMilliseconds, electionMilliseconds: 1000 };
        const log = { level: 'warn' };
        const text = JSON.stringify({ ...settings, dataFolder, timeouts, log });
        return { ...place, dataFolder, settings: await group.write(`${name}.jsonc`, text) };
      }),
    );
    const control = new ControlGroup(group, folder, hosts);
    hosts.forEach((host) => {
      control.startHost(host);
    });
    return control;
  }

  get carriedBytes(): number {
    return this.hosts.reduce((sum, { relay }) => sum + relay.carriedBytes, 0);
  }

  async stop(): Promise<void> {
    this.#clients.close();
    await this.#group.stop();
    await Promise.all(this.hosts.map(({ relay }) => relay.close()));
    await rm(this.#folder, { recursive: true, force: true });
  }

  startHost(host: MeasuredHost): void {
    const commandArguments = ['--settings', host.settings];
    this.#programs.set(host, this.#group.start('pistachiospoke-control', commandArguments));
  }

  findPid(host: MeasuredHost): number {
    return this.#findProgram(host).pid;
  }

  /** Ends a process: by SIGKILL without warning, by SIGTERM as a planned stop. */
  async end(host: MeasuredHost, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const program = this.#findProgram(host);
    program.signal(signal);
    await program.waitForExit();
    this.#clients.retire(host.address);
  }

  async findLeader(): Promise<MeasuredHost> {
    return waitFor('a leader', async () => {
      for (const host of this.hosts) {
        const view = await this.readControl(host).catch(() => undefined);
        if (view?.role === 'leader') {
          return host;
        }
      }
      return undefined;
    });
  }

  async readControl(host: MeasuredHost): Promise<ControlView> {
    const client = this.#clients.client(ControlService, host.address);
    const { answer } = await client.get({ kind: 'control' }, { timeoutMs: callTimeout });
    return viewSchemas.control.parse(JSON.parse(answer));
  }

  /** Submits one command to one host; true once it is committed. */
  async submit(host: MeasuredHost, command: object): Promise<boolean> {
    const client = this.#clients.client(ControlService, host.address);
    const text = JSON.stringify(command);
    const { resultCode } = await client.submit({ command: text }, { timeoutMs: callTimeout });
    return resultCode === 0;
  }

  /** Bytes of the files of a data folder whose names begin so. */
  async measureFiles(host: MeasuredHost, prefix: string): Promise<number> {
    const names = (await readdir(host.dataFolder)).filter((name) => name.startsWith(prefix));
    const files = await Promise.all(names.map((name) => stat(join(host.dataFolder, name))));
    return files.reduce((sum, { size }) => sum + size, 0);
  }

  #findProgram(host: MeasuredHost): RunningProgram {
    const program = this.#programs.get(host);
    if (program === undefined) {
      throw new Error(`${host.name} was not started`);
    }
    return program;
  }
}

/** A claim of a key that nobody else uses. */
export function createClaim(key: string): object {
  return {
    type: 'claimKey',
    at: 0,
    account: 'bench',
    key,
    fingerprint: 'f'.repeat(64),
    requestId: `request ${key}`,
  };
}

/** A change by an operator. */
export function createChange(revision: number): object {
  return {
    type: 'setHostDrain',
    changeId: `change ${revision}`,
    baseRevision: revision,
    operator: 'bench',
    at: 0,
    host: `host-${revision % 400}`,
    isDraining: revision % 2 === 0,
  };
}
