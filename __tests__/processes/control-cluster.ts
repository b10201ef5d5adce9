import { rm } from 'node:fs/promises';
import { join } from 'node:path';

import type { Result } from 'ts-results';

import { createRandomSource, type Failure } from '../../src/common/index.js';
import { ControlClient } from '../../src/control/index.js';
import {
  viewSchemas,
  type CommandAnswer,
  type ConfigurationView,
  type ControlView,
} from '../../src/control/state/index.js';
import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { ProgramGroup, reservePort, waitFor, type RunningProgram } from '../support/index.js';

const callTimeout = 1000;

/** One control host as a process of its own. */
export interface ControlHost {
  readonly name: string;
  readonly address: string;
  readonly dataFolder: string;
  readonly settings: string;
}

/** Control hosts as processes, and an operator who resends each change until it is answered. */
export class ControlCluster {
  readonly group: ProgramGroup;
  readonly hosts: readonly ControlHost[];
  readonly #clients = new RpcClientPool();
  readonly #programs = new Map<ControlHost, RunningProgram>();
  readonly #client: ControlClient;
  #revision = 0;

  private constructor(group: ProgramGroup, hosts: readonly ControlHost[]) {
    this.group = group;
    this.hosts = hosts;
    const control = hosts.map(({ address }) => address);
    const random = createRandomSource(1);
    this.#client = new ControlClient({
      control,
      clients: this.#clients,
      timeout: callTimeout,
      random,
    });
  }

  static async start(): Promise<ControlCluster> {
    const group = await ProgramGroup.create();
    const names = ['control-1', 'control-2', 'control-3'];
    const voters = await Promise.all(
      names.map(async (name) => ({ name, address: `127.0.0.1:${await reservePort()}` })),
    );
    const hosts = await Promise.all(
      voters.map(async ({ name, address }): Promise<ControlHost> => {
        const dataFolder = join(group.folder, name);
        const place = { region: 'test', failureDomain: name };
        const text = JSON.stringify({ name, ...place, listen: address, voters, dataFolder });
        return { name, address, dataFolder, settings: await group.write(`${name}.jsonc`, text) };
      }),
    );
    const cluster = new ControlCluster(group, hosts);
    hosts.forEach((host) => {
      cluster.startHost(host);
    });
    return cluster;
  }

  async stop(): Promise<void> {
    this.#clients.close();
    await this.group.stop();
  }

  startHost(host: ControlHost): RunningProgram {
    const commandArguments = ['--settings', host.settings];
    const program = this.group.start('pistachiospoke-control', commandArguments, {
      label: host.name,
    });
    this.#programs.set(host, program);
    return program;
  }

  /** Ends a process without any warning. */
  async kill(host: ControlHost): Promise<void> {
    const program = this.#findProgram(host);
    program.signal('SIGCONT');
    program.signal('SIGKILL');
    await program.waitForExit();
    this.#clients.retire(host.address);
  }

  async wipe(host: ControlHost): Promise<void> {
    await rm(host.dataFolder, { recursive: true });
  }

  signal(host: ControlHost, signal: NodeJS.Signals): void {
    this.#findProgram(host).signal(signal);
  }

  /** Resends one change until its answer is known; returns the revision it made. */
  async change(changeId: string): Promise<number> {
    const revision = await waitFor(`the answer to ${changeId}`, async () => {
      const result = await this.#submit(changeId);
      if (result.err) {
        return undefined;
      }
      if (result.val.type !== 'changed') {
        throw new Error(`${changeId}: ${JSON.stringify(result.val)}`);
      }
      return result.val.revision;
    });
    this.#revision = revision;
    return revision;
  }

  async findLeader(): Promise<ControlHost> {
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

  async readControl(host: ControlHost): Promise<ControlView> {
    const { answer } = await this.#get(host, 'control');
    return viewSchemas.control.parse(JSON.parse(answer));
  }

  /** What a host answers to a read that must not be stale; undefined when it says that it cannot. */
  async readConfiguration(host: ControlHost): Promise<ConfigurationView | undefined> {
    const { answer, resultCode } = await this.#get(host, 'configuration');
    return resultCode === 0 ? viewSchemas.configuration.parse(JSON.parse(answer)) : undefined;
  }

  /** Waits until a host shows a configuration, and returns the ids of its changes in order. */
  async readHistory(host: ControlHost): Promise<readonly string[]> {
    const view = await waitFor(`the history at ${host.name}`, () => this.readConfiguration(host));
    return view.history.map(({ changeId }) => changeId);
  }

  #submit(changeId: string): Promise<Result<CommandAnswer, Failure>> {
    return this.#client.submit({
      type: 'setHostDrain',
      changeId,
      baseRevision: this.#revision,
      operator: 'test',
      at: 0,
      host: `host of ${changeId}`,
      isDraining: true,
    });
  }

  async #get(host: ControlHost, kind: string) {
    const client = this.#clients.client(ControlService, host.address);
    try {
      return await client.get({ kind }, { timeoutMs: callTimeout });
    } catch (error) {
      this.#clients.retire(host.address);
      throw error;
    }
  }

  #findProgram(host: ControlHost): RunningProgram {
    const program = this.#programs.get(host);
    if (program === undefined) {
      throw new Error(`${host.name} was not started`);
    }
    return program;
  }
}
