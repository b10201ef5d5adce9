/** A whole deployment of built programs on loopback, with stand-in upstreams. */
import {
  createControlSettings,
  createFleetConfiguration,
  createGatewaySettings,
  createSidecarSettings,
  fleetKey,
  fleetModel,
  fleetService,
  type FleetAddresses,
} from './fleet-settings.js';
import { reservePort } from './ports.js';
import { ProgramGroup, type RunningProgram } from './programs.js';
import { waitFor } from './wait.js';

export interface FleetOptions {
  readonly controls?: number;
  readonly gateways?: number;
  readonly engineHosts?: number;
  readonly serviceHosts?: number;
  readonly replicaSize?: number;
  /** Between two tokens of a stand-in engine. */
  readonly tokenMilliseconds?: number;
  readonly serviceAnswerMilliseconds?: number;
  /** Called with the addresses of the control hosts; returns those that gateways and sidecars use instead, for relays. */
  readonly relayControl?: RelayControl;
  /** The same for the gateways alone; called once for each. */
  readonly relayGatewayControl?: (
    gateway: string,
    addresses: readonly string[],
  ) => Promise<readonly string[]>;
}

type RelayControl = (addresses: readonly string[]) => Promise<readonly string[]>;

/** One process of the fleet; `restart` starts it again with the same settings and data folder. */
export interface FleetMember extends FleetAddresses {
  readonly program: RunningProgram;
}

interface Starter extends FleetAddresses {
  readonly binary: string;
  readonly commandArguments: readonly string[];
}

export interface ChatOptions {
  readonly gateway?: number;
  readonly content?: string;
  readonly isStreamed?: boolean;
  readonly tokens?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

const defaults = {
  controls: 1,
  gateways: 1,
  engineHosts: 4,
  serviceHosts: 1,
  replicaSize: 4,
  tokenMilliseconds: 5,
  serviceAnswerMilliseconds: 5,
};

/** Starts everything, waits until it serves, and ends it. */
export class Fleet {
  readonly group: ProgramGroup;
  readonly #starters: readonly Starter[];
  readonly #members = new Map<string, FleetMember>();

  private constructor(group: ProgramGroup, starters: readonly Starter[]) {
    this.group = group;
    this.#starters = starters;
  }

  /** Starts all processes, applies the configuration and waits until model and service answer. */
  static async start(options: FleetOptions = {}): Promise<Fleet> {
    const group = await ProgramGroup.create();
    const full = { ...defaults, ...options };
    const fleet = new Fleet(group, await describeFleet(group, full));
    try {
      for (const { name } of fleet.#starters) {
        fleet.start(name);
      }
      await fleet.apply(createFleetConfiguration(full.replicaSize));
      await waitFor('the model to answer', () => fleet.#isAnswering(full.gateways));
    } catch (error) {
      const ended = group.programs.filter(({ isRunning }) => !isRunning);
      const outputs = ended.map(({ label, output }) => `${label} ended: ${output.slice(-2000)}`);
      await group.stop();
      throw new Error(`the fleet did not start: ${[String(error), ...outputs].join('\n')}`, {
        cause: error,
      });
    }
    return fleet;
  }

  /** Members by kind, for example `control`, `gateway`, `sidecar`, `engine`, `service`. */
  list(kind: string): readonly FleetMember[] {
    return [...this.#members.values()].filter(({ name }) => name.startsWith(`${kind}-`));
  }

  member(name: string): FleetMember {
    const member = this.#members.get(name);
    if (member === undefined) {
      throw new Error(`no member ${name}`);
    }
    return member;
  }

  /** Starts a member, or starts one again that has ended. */
  start(name: string): FleetMember {
    const starter = this.#starters.find((candidate) => candidate.name === name);
    if (starter === undefined) {
      throw new Error(`no member ${name}`);
    }
    const { binary, commandArguments, address, outer } = starter;
    const program = this.group.start(binary, commandArguments, { label: name });
    const member = { name, address, outer, program };
    this.#members.set(name, member);
    return member;
  }

  /** Runs the operators' command line against the control hosts. */
  runCommand(commandArguments: readonly string[]): ReturnType<ProgramGroup['run']> {
    const control = this.list('control').flatMap(({ address }) => ['--control', address]);
    return this.group.run('pistachiospoke', [...control, ...commandArguments]);
  }

  /** Applies a configuration; tries again until control accepts one. */
  async apply(configuration: object): Promise<void> {
    const file = await this.group.write('configuration.jsonc', JSON.stringify(configuration));
    await waitFor('the configuration to be accepted', async () => {
      const { exit, output } = await this.runCommand(['apply', file]);
      if (exit.code !== 0) {
        throw new Error(output);
      }
      return true;
    });
  }

  /** Origin of a gateway for callers. */
  origin(gateway = 1): string {
    return `http://${this.member(`gateway-${gateway}`).outer}`;
  }

  chat(options: ChatOptions = {}): Promise<Response> {
    return fetch(`${this.origin(options.gateway)}/v1/chat/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${fleetKey}`,
        'content-type': 'application/json',
        ...options.headers,
      },
      body: JSON.stringify({
        model: fleetModel,
        messages: [{ role: 'user', content: options.content ?? 'hello' }],
        stream: options.isStreamed ?? false,
        max_tokens: options.tokens ?? 4,
      }),
    });
  }

  /** Calls the plain service. */
  callService(
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = {},
    gateway = 1,
  ): Promise<Response> {
    return fetch(`${this.origin(gateway)}/services/${fleetService}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${fleetKey}`, ...headers },
      body,
    });
  }

  stop(): Promise<void> {
    return this.group.stop();
  }

  async #isAnswering(gateways: number): Promise<boolean> {
    for (let gateway = 1; gateway <= gateways; gateway += 1) {
      const response = await this.chat({ gateway });
      await response.text();
      if (response.status !== 200) {
        return false;
      }
    }
    return this.list('service').length === 0 || this.#isServiceAnswering();
  }

  async #isServiceAnswering(): Promise<boolean> {
    const response = await this.callService('/ready', '');
    await response.text();
    return response.status === 200;
  }
}

type FullOptions = typeof defaults & Pick<FleetOptions, 'relayControl' | 'relayGatewayControl'>;

async function describeFleet(
  group: ProgramGroup,
  options: FullOptions,
): Promise<readonly Starter[]> {
  const controls = await reserveMembers('control', options.controls);
  const gateways = await reserveMembers('gateway', options.gateways);
  const engines = await reserveMembers('sidecar', options.engineHosts);
  const services = await reserveMembers('sidecar-desk', options.serviceHosts);
  const direct = controls.map(({ address }) => address);
  const control = (await options.relayControl?.(direct)) ?? direct;
  const write = (own: FleetAddresses, binary: string, settings: object): Promise<Starter> =>
    describeProgram(group, own, binary, settings);
  return Promise.all([
    ...controls.map((own, index) => {
      const folder = `${group.folder}/${own.name}-data`;
      return write(own, 'control', createControlSettings(own, index, controls, folder));
    }),
    ...engines.map((own) => write(own, 'sidecar', createSidecarSettings(own, 'llm', control))),
    ...services.map((own) => write(own, 'sidecar', createSidecarSettings(own, 'desk', control))),
    ...gateways.map(async (own, index) => {
      const ownControl = (await options.relayGatewayControl?.(own.name, control)) ?? control;
      return write(own, 'gateway', createGatewaySettings(own, index, ownControl));
    }),
    ...engines.map((sidecar, index) =>
      describeUpstream(`engine-${index + 1}`, sidecar, [
        'engine',
        '--checks-fencing-number',
        ...['--token-milliseconds', String(options.tokenMilliseconds)],
      ]),
    ),
    ...services.map((sidecar, index) =>
      describeUpstream(`service-${index + 1}`, sidecar, [
        'service',
        ...['--service', fleetService],
        ...['--answer-milliseconds', String(options.serviceAnswerMilliseconds)],
      ]),
    ),
  ]);
}

function reserveMembers(kind: string, count: number): Promise<readonly FleetAddresses[]> {
  return Promise.all(
    Array.from({ length: count }, async (_, index) => ({
      name: `${kind}-${index + 1}`,
      address: `127.0.0.1:${await reservePort()}`,
      outer: `127.0.0.1:${await reservePort()}`,
    })),
  );
}

async function describeProgram(
  group: ProgramGroup,
  own: FleetAddresses,
  binary: string,
  settings: object,
): Promise<Starter> {
  const file = await group.write(`${own.name}.jsonc`, JSON.stringify(settings, undefined, 2));
  return { ...own, binary: `pistachiospoke-${binary}`, commandArguments: ['--settings', file] };
}

async function describeUpstream(
  name: string,
  sidecar: FleetAddresses,
  commandArguments: readonly string[],
): Promise<Starter> {
  const address = `127.0.0.1:${await reservePort()}`;
  return {
    name,
    address,
    outer: '',
    binary: 'pistachiospoke-stand-in',
    commandArguments: [...commandArguments, '--listen', address, '--sidecar', sidecar.outer],
  };
}
