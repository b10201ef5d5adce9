/** A complete deployment of the built programs on loopback, with stand-in upstreams. */
import {
  createControlSettings,
  createFleetConfiguration,
  createGatewaySettings,
  createSidecarSettings,
  fleetKey,
  fleetModel,
  fleetService,
  type FleetAddresses,
  type ShutdownTimes,
} from './fleet-settings.js';
import { FleetReadiness } from './fleet-readiness.js';
import { reservePort } from './ports.js';
import { ProgramGroup, type RunningProgram } from './programs.js';
import { waitFor } from './wait.js';

export interface FleetOptions {
  readonly controls?: number;
  readonly gateways?: number;
  readonly engineHosts?: number;
  readonly serviceHosts?: number;
  readonly replicaSize?: number;
  /** Delay between two tokens of a stand-in engine. */
  readonly tokenMilliseconds?: number;
  readonly serviceAnswerMilliseconds?: number;
  /** Text in a message that ends the stand-in engine that answers it. */
  readonly crashOn?: string;
  /** Times in which gateways stop. */
  readonly gatewayShutdown?: ShutdownTimes;
  /** What callers may send. */
  readonly maximumBodyBytes?: number;
  /** Receives the addresses of the control hosts and returns the relay addresses that gateways and sidecars use instead. */
  readonly relayControl?: RelayControl;
  /** Like `relayControl`, for gateways only; called once per gateway. */
  readonly relayGatewayControl?: (
    gateway: string,
    addresses: readonly string[],
  ) => Promise<readonly string[]>;
}

type RelayControl = (addresses: readonly string[]) => Promise<readonly string[]>;

/** One process of the fleet; {@link Fleet.start} restarts it with the same settings and data folder. */
export interface FleetMember extends FleetAddresses {
  readonly program: RunningProgram;
}

interface MemberDefinition extends FleetAddresses {
  readonly binary: string;
  readonly commandArguments: readonly string[];
}

export interface ChatOptions {
  readonly gateway?: number;
  readonly content?: string;
  /** Messages before the one with the content. */
  readonly earlier?: readonly string[];
  readonly isStreamed?: boolean;
  readonly tokens?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Gives the request up. */
  readonly signal?: AbortSignal;
}

/** Warnings of each running program in the message of a failed start. */
const lastWarningCount = 3;

const defaults = {
  controls: 1,
  gateways: 1,
  engineHosts: 4,
  serviceHosts: 1,
  replicaSize: 4,
  tokenMilliseconds: 5,
  serviceAnswerMilliseconds: 5,
};

/** Starts all processes of a deployment, waits until they serve requests, and stops them. */
export class Fleet {
  readonly group: ProgramGroup;
  readonly #definitions: readonly MemberDefinition[];
  readonly #members = new Map<string, FleetMember>();

  private constructor(group: ProgramGroup, definitions: readonly MemberDefinition[]) {
    this.group = group;
    this.#definitions = definitions;
  }

  /** Starts all processes, applies the configuration and waits until the model and the service respond. */
  static async start(options: FleetOptions = {}): Promise<Fleet> {
    const group = await ProgramGroup.create();
    const completeOptions = { ...defaults, ...options };
    const fleet = new Fleet(group, await defineMembers(group, completeOptions));
    const readiness = fleet.#createReadiness(completeOptions);
    try {
      for (const { name } of fleet.#definitions) {
        fleet.start(name);
      }
      await fleet.apply(createFleetConfiguration(completeOptions.replicaSize));
      await waitFor('the model to answer', () => readiness.check());
    } catch (error) {
      const details = [...readiness.describe(), ...describePrograms(group)];
      await group.stop();
      throw new Error(`the fleet did not start: ${[String(error), ...details].join('\n')}`, {
        cause: error,
      });
    }
    return fleet;
  }

  /** Members of one kind: `control`, `gateway`, `sidecar`, `engine` or `service`. */
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

  /** Starts a member, or restarts one that has exited. */
  start(name: string): FleetMember {
    const definition = this.#definitions.find((candidate) => candidate.name === name);
    if (definition === undefined) {
      throw new Error(`no member ${name}`);
    }
    const { binary, commandArguments, address, externalAddress } = definition;
    const program = this.group.start(binary, commandArguments, { label: name });
    const member = { name, address, externalAddress, program };
    this.#members.set(name, member);
    return member;
  }

  /** Runs the operator CLI against the control hosts. */
  runCommand(commandArguments: readonly string[]): ReturnType<ProgramGroup['run']> {
    const control = this.list('control').flatMap(({ address }) => ['--control', address]);
    return this.group.run('pistachiospoke', [...control, ...commandArguments]);
  }

  /** Applies a configuration, retrying until control accepts it. */
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

  /** URL origin at which callers reach a gateway. */
  origin(gateway = 1): string {
    return `http://${this.member(`gateway-${gateway}`).externalAddress}`;
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
        messages: [...(options.earlier ?? []), options.content ?? 'hello'].map((content) => {
          return { role: 'user', content };
        }),
        stream: options.isStreamed ?? false,
        max_tokens: options.tokens ?? 4,
      }),
      signal: options.signal ?? null,
    });
  }

  /** Calls the plain service. */
  callService(
    path: string,
    body: string,
    headers: Readonly<Record<string, string>> = {},
    gateway = 1,
    signal?: AbortSignal,
  ): Promise<Response> {
    return fetch(`${this.origin(gateway)}/services/${fleetService}${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${fleetKey}`, ...headers },
      body,
      signal: signal ?? null,
    });
  }

  stop(): Promise<void> {
    return this.group.stop();
  }

  /** Asks each gateway for the model, and one of them for the service. */
  #createReadiness({ gateways, serviceHosts }: CompleteOptions): FleetReadiness {
    const models = Array.from({ length: gateways }, (_, index) => ({
      name: `model through gateway-${index + 1}`,
      send: (signal: AbortSignal) => this.chat({ gateway: index + 1, signal }),
    }));
    const service = {
      name: 'service through gateway-1',
      send: (signal: AbortSignal) => this.callService('/ready', '', {}, 1, signal),
    };
    return new FleetReadiness(serviceHosts === 0 ? models : [...models, service]);
  }
}

/** The end of the output of programs that have exited, and the last warnings of the others. */
function describePrograms(group: ProgramGroup): readonly string[] {
  const ended = group.programs.filter(({ isRunning }) => !isRunning);
  const running = group.programs.filter(({ isRunning }) => isRunning);
  return [
    ...ended.map(({ label, output }) => `${label} exited: ${output.slice(-2000)}`),
    ...running.flatMap((program) =>
      program.listWarnings(lastWarningCount).map((line) => `${program.label} warned: ${line}`),
    ),
  ];
}

type CompleteOptions = typeof defaults &
  Pick<
    FleetOptions,
    'relayControl' | 'relayGatewayControl' | 'crashOn' | 'gatewayShutdown' | 'maximumBodyBytes'
  >;

async function defineMembers(
  group: ProgramGroup,
  options: CompleteOptions,
): Promise<readonly MemberDefinition[]> {
  const controls = await reserveMembers('control', options.controls);
  const gateways = await reserveMembers('gateway', options.gateways);
  const engines = await reserveMembers('sidecar', options.engineHosts);
  const services = await reserveMembers('sidecar-desk', options.serviceHosts);
  const controlAddresses = controls.map(({ address }) => address);
  const control = (await options.relayControl?.(controlAddresses)) ?? controlAddresses;
  const define = (
    own: FleetAddresses,
    binary: string,
    settings: object,
  ): Promise<MemberDefinition> => defineProgram(group, own, binary, settings);
  return Promise.all([
    ...controls.map((own, index) => {
      const folder = `${group.folder}/${own.name}-data`;
      return define(own, 'control', createControlSettings(own, index, controls, folder));
    }),
    ...engines.map((own) => define(own, 'sidecar', createSidecarSettings(own, 'llm', control))),
    ...services.map((own) => define(own, 'sidecar', createSidecarSettings(own, 'desk', control))),
    ...gateways.map(async (own, index) => {
      const ownControl = (await options.relayGatewayControl?.(own.name, control)) ?? control;
      const settings = createGatewaySettings(
        own,
        index,
        ownControl,
        options.gatewayShutdown,
        options.maximumBodyBytes,
      );
      return define(own, 'gateway', settings);
    }),
    ...engines.map((sidecar, index) =>
      defineUpstream(`engine-${index + 1}`, sidecar, [
        'engine',
        '--checks-fencing-number',
        ...['--token-milliseconds', String(options.tokenMilliseconds)],
        ...(options.crashOn === undefined ? [] : ['--crash-on', options.crashOn]),
      ]),
    ),
    ...services.map((sidecar, index) =>
      defineUpstream(`service-${index + 1}`, sidecar, [
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
      externalAddress: `127.0.0.1:${await reservePort()}`,
    })),
  );
}

async function defineProgram(
  group: ProgramGroup,
  own: FleetAddresses,
  binary: string,
  settings: object,
): Promise<MemberDefinition> {
  const file = await group.write(`${own.name}.jsonc`, JSON.stringify(settings, undefined, 2));
  return { ...own, binary: `pistachiospoke-${binary}`, commandArguments: ['--settings', file] };
}

async function defineUpstream(
  name: string,
  sidecar: FleetAddresses,
  commandArguments: readonly string[],
): Promise<MemberDefinition> {
  const address = `127.0.0.1:${await reservePort()}`;
  return {
    name,
    address,
    externalAddress: '',
    binary: 'pistachiospoke-stand-in',
    commandArguments: [
      ...commandArguments,
      '--listen',
      address,
      '--sidecar',
      sidecar.externalAddress,
    ],
  };
}
