import { createHash, randomUUID } from 'node:crypto';

import type { GroupView, HostView, HostsView, GroupsView } from '../../src/control/state/index.js';
import { ControlService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { RpcClientPool } from '../../src/wire/index.js';
import { ProgramGroup, reservePort, waitFor, type RunningProgram } from '../support/index.js';

/** One control host, one gateway, and hosts with a sidecar and a stand-in engine each, as processes on loopback. */

const key = 'groups-test-key';
const model = 'assist';
const leaseMilliseconds = 1000;

export interface DeploymentOptions {
  /** Hosts of one fabric domain. */
  readonly hosts: readonly string[];
  readonly replicaSize: number;
  readonly checksFencingNumber?: boolean;
}

interface HostPrograms {
  readonly sidecar: RunningProgram;
  readonly engine: RunningProgram;
}

export interface Answer {
  readonly status: number;
  readonly text: string;
}

export class GroupDeployment {
  readonly #programs: ProgramGroup;
  readonly #clients = new RpcClientPool();
  readonly #options: DeploymentOptions;
  readonly #control: string;
  readonly #gateway: string;
  readonly #hosts = new Map<string, HostPrograms>();
  readonly #starts = new Map<string, () => HostPrograms>();

  private constructor(
    programs: ProgramGroup,
    options: DeploymentOptions,
    control: string,
    gateway: string,
  ) {
    this.#programs = programs;
    this.#options = options;
    this.#control = control;
    this.#gateway = gateway;
  }

  static async start(options: DeploymentOptions): Promise<GroupDeployment> {
    const programs = await ProgramGroup.create();
    const [control, gateway] = [await reserveAddress(), await reserveAddress()];
    const deployment = new GroupDeployment(programs, options, control, gateway);
    try {
      await deployment.#startPrograms();
      await deployment.declare({ version: '1' });
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  async stop(): Promise<void> {
    this.#clients.close();
    await this.#programs.stop();
  }

  find(host: string): HostPrograms {
    const programs = this.#hosts.get(host);
    if (programs === undefined) {
      throw new Error(`no host ${host}`);
    }
    return programs;
  }

  /** Starts the sidecar and the engine of a host that were ended. */
  restart(host: string): void {
    const start = this.#starts.get(host);
    if (start !== undefined) {
      this.#hosts.set(host, start());
    }
  }

  /** Declares one kind of group for hosts with the label. */
  async declare({ version, pool = 'llm' }: { version: string; pool?: string }): Promise<void> {
    const document = {
      groups: [
        {
          name: model,
          hosts: { pool: [pool] },
          replicaSize: this.#options.replicaSize,
          carries: { model, version, adapters: [] },
          reachableBy: { accounts: {}, services: [] },
        },
      ],
      services: [],
      accounts: [{ name: 'tester', keySha256: createHash('sha256').update(key).digest('hex') }],
      policy: { leaseMilliseconds, groupDowntimeWeight: 10 },
      objectives: [],
    };
    await this.#submit({ type: 'applyConfiguration', document });
  }

  async label(host: string, labels: Readonly<Record<string, string>>): Promise<void> {
    await this.#submit({ type: 'setHostLabels', host, labels });
  }

  async groups(): Promise<readonly GroupView[]> {
    return (await this.#get<GroupsView>('groups')).groups;
  }

  async hosts(): Promise<readonly HostView[]> {
    return (await this.#get<HostsView>('hosts')).hosts;
  }

  /** Waits for a serving group that the condition accepts. */
  waitForServing(
    what: string,
    isWanted: (group: GroupView) => boolean = () => true,
  ): Promise<GroupView> {
    return waitFor(what, async () =>
      (await this.groups()).find((group) => group.isServing && isWanted(group)),
    );
  }

  /** Asks for an answer of so many tokens. */
  async ask(tokens: number): Promise<Answer> {
    const response = await this.#request({ max_tokens: tokens });
    return { status: response.status, text: await response.text() };
  }

  /** Asks for a stream of tokens; resolves with the answer once it has begun. */
  async askForStream(tokens: number): Promise<StreamedAnswer> {
    const response = await this.#request({ max_tokens: tokens, stream: true });
    if (response.body === null) {
      throw new Error('an answer without a body');
    }
    return new StreamedAnswer(response.body);
  }

  /** Asks again until an answer is whole. */
  waitForAnswer(): Promise<Answer> {
    return waitFor('a whole answer', async () => {
      const answer = await this.ask(2);
      return answer.status === 200 ? answer : undefined;
    });
  }

  #request(fields: object): Promise<Response> {
    const messages = [{ role: 'user', content: randomUUID() }];
    return fetch(`http://${this.#gateway}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model, messages, ...fields }),
    });
  }

  async #startPrograms(): Promise<void> {
    await this.#startControl();
    for (const host of this.#options.hosts) {
      await this.#prepareHost(host);
    }
    await this.#startGateway();
  }

  async #startControl(): Promise<void> {
    const name = 'control-1';
    const settings = {
      name,
      region: 'local',
      failureDomain: 'bole',
      listen: this.#control,
      voters: [{ name, address: this.#control }],
      dataFolder: `${this.#programs.folder}/${name}`,
    };
    await this.#start('control', name, settings);
    await waitFor('control to answer', () => this.#get<GroupsView>('groups'));
  }

  async #startGateway(): Promise<void> {
    const settings = {
      name: 'gateway-1',
      region: 'local',
      failureDomain: 'bole',
      listen: this.#gateway,
      internal: await reserveAddress(),
      control: [this.#control],
    };
    await this.#start('gateway', 'gateway-1', settings);
  }

  async #prepareHost(host: string): Promise<void> {
    const [listen, announce, engine] = [
      await reserveAddress(),
      await reserveAddress(),
      await reserveAddress(),
    ];
    const settings = {
      host,
      region: 'local',
      failureDomain: 'bole',
      fabricDomain: 'bole-fabric',
      accelerators: 8,
      labels: { pool: 'llm' },
      listen,
      announce,
      control: [this.#control],
      concurrency: 16,
    };
    const path = await this.#programs.write(`${host}.json`, JSON.stringify(settings));
    const engineArguments = ['engine', '--listen', engine, '--sidecar', announce];
    if (this.#options.checksFencingNumber === true) {
      engineArguments.push('--checks-fencing-number');
    }
    this.#starts.set(host, () => ({
      sidecar: this.#programs.start('pistachiospoke-sidecar', ['--settings', path], {
        label: host,
      }),
      engine: this.#programs.start('pistachiospoke-stand-in', engineArguments),
    }));
    this.restart(host);
  }

  async #start(role: string, label: string, settings: object): Promise<void> {
    const path = await this.#programs.write(`${label}.json`, JSON.stringify(settings));
    this.#programs.start(`pistachiospoke-${role}`, ['--settings', path], { label });
  }

  async #submit(change: object): Promise<void> {
    const { revision } = await this.#get<GroupsView>('groups');
    const command = {
      ...change,
      changeId: randomUUID(),
      baseRevision: revision,
      operator: 'test',
      at: 0,
    };
    const response = await this.#clients
      .client(ControlService, this.#control)
      .submit({ command: JSON.stringify(command) });
    if (response.resultCode !== 0) {
      throw new Error(response.message);
    }
  }

  async #get<View>(kind: string): Promise<View> {
    const response = await this.#clients.client(ControlService, this.#control).get({ kind });
    return JSON.parse(response.answer) as View;
  }
}

async function reserveAddress(): Promise<string> {
  return `127.0.0.1:${await reservePort()}`;
}

/** An answer that comes in pieces. */
export class StreamedAnswer {
  readonly #pieces: AsyncIterator<Uint8Array>;
  readonly #decoder = new TextDecoder();
  #text = '';

  constructor(body: ReadableStream<Uint8Array>) {
    this.#pieces = body[Symbol.asyncIterator]();
  }

  /** Reads until so many events have come, or the end; returns the text so far. */
  async readEvents(count: number): Promise<string> {
    while (this.#text.split('data: ').length <= count) {
      const piece = await this.#pieces.next();
      if (piece.done === true) {
        break;
      }
      this.#text += this.#decoder.decode(piece.value, { stream: true });
    }
    return this.#text;
  }
}
