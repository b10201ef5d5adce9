import { join } from 'node:path';

import { ProgramGroup, reservePort, waitFor, type RunningProgram } from '../support/index.js';
import { TestEngine } from './test-engine.js';

/** Runs the built programs for the platform as processes, with a test engine next to each sidecar. */

/** The first three are the initial members of the log; the last one is started later as a replacement. */
const controlHosts = ['127.0.0.1', '127.0.0.2', '127.0.0.3', '127.0.0.4'];
export const initialControlCount = 3;
const host = 'desk.example';
const apiKey = 'key-1';
export const streamPath = '/draft/1';

interface RunningGateway {
  readonly name: string;
  readonly address: string;
  readonly readiness: string;
  readonly settingsFile: string;
  program: RunningProgram;
}

interface Ports {
  readonly internal: number;
  readonly operators: number;
}

/** Folder of the built programs: `deployment` has them as minified for the platform's machines, and runs them with the same flags. */
export type PlatformBuild = 'platform' | 'deployment';
type ProgramName = 'control' | 'gateway' | 'sidecar';

/** Flags for Node on the platform's machines. */
const deploymentFlags: Readonly<Record<ProgramName, readonly string[]>> = {
  control: ['--max-old-space-size=200', '--max-semi-space-size=4'],
  gateway: ['--max-old-space-size=200', '--max-semi-space-size=4'],
  sidecar: ['--max-old-space-size=100', '--max-semi-space-size=2', '--optimize-for-size'],
};

export interface CallResult {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  readonly isWhole: boolean;
}

export interface StreamOptions {
  /** Index of the gateway. */
  readonly gateway?: number;
  readonly body?: string;
  /** Header fields in addition to the usual ones. */
  readonly headers?: Readonly<Record<string, string>>;
}

export class PlatformDeployment {
  readonly group: ProgramGroup;
  readonly engines: readonly TestEngine[];
  readonly #ports: Ports;
  readonly #control = new Map<string, RunningProgram>();
  readonly #sidecars: RunningProgram[] = [];
  readonly #settingsFiles = new Map<string, string>();
  readonly #gateways: RunningGateway[] = [];
  readonly #graceMilliseconds: number;
  readonly #evacuationLimit: number | undefined;
  /** Settings of the gateways in addition to the usual ones. */
  readonly #gatewaySettings: object;
  readonly #build: PlatformBuild;

  private constructor(
    group: ProgramGroup,
    ports: Ports,
    engines: readonly TestEngine[],
    graceMilliseconds: number,
    evacuationLimit: number | undefined,
    gatewaySettings: object,
    build: PlatformBuild,
  ) {
    this.group = group;
    this.#ports = ports;
    this.engines = engines;
    this.#graceMilliseconds = graceMilliseconds;
    this.#evacuationLimit = evacuationLimit;
    this.#gatewaySettings = gatewaySettings;
    this.#build = build;
  }

  /**
   * `graceMilliseconds`: how long a stopping gateway finishes requests. `evacuationLimit`: time in milliseconds after which nothing may
   * reach an evacuated domain; without it the deployment has no evacuations.
   */
  static async start(
    engineCount: number,
    gatewayCount = 1,
    graceMilliseconds = 1000,
    evacuationLimit?: number,
    gatewaySettings: object = {},
    build: PlatformBuild = 'platform',
  ): Promise<PlatformDeployment> {
    const group = await ProgramGroup.create();
    const ports = { internal: await reservePort(), operators: await reservePort() };
    const engines = await Promise.all(
      Array.from({ length: engineCount }, async (_, index) => {
        return new TestEngine(`i-${index}`, '127.0.0.1', await reservePort());
      }),
    );
    const deployment = new PlatformDeployment(
      group,
      ports,
      engines,
      graceMilliseconds,
      evacuationLimit,
      gatewaySettings,
      build,
    );
    await Promise.all(engines.map((engine) => engine.open()));
    await deployment.#startControl();
    await deployment.#startSidecars();
    for (let index = 0; index < gatewayCount; index += 1) {
      await deployment.startGateway();
    }
    return deployment;
  }

  async stop(): Promise<void> {
    await this.group.stop();
    await Promise.all(this.engines.map((engine) => engine.crash()));
  }

  /** Calls one control host as an operator or a runner does. */
  async callControl(
    index: number,
    method: string,
    path: string,
    body?: string,
  ): Promise<CallResult> {
    const address = this.operatorsAddress(index);
    return call(`http://${address}${path}`, { method, ...(body === undefined ? {} : { body }) });
  }

  /** Resends a manifest until control accepts it. */
  async applyManifest(version: number): Promise<void> {
    await waitFor(`manifest ${version} to be accepted`, async () => {
      const { status } = await this.callControl(0, 'POST', '/Config.Put', this.manifest(version));
      return status === 200;
    });
  }

  /** Applies the first manifest and waits until at least so many groups are open. */
  async waitForGroups(groupCount: number): Promise<void> {
    await this.applyManifest(5);
    await waitFor(`${groupCount} open groups`, () => this.findHeads().length >= groupCount);
  }

  /** The engines that serve as the heads of open groups. */
  findHeads(): readonly TestEngine[] {
    return this.engines.filter((engine) => engine.isOpen);
  }

  /** Requests a stream through the gateway with the given index. */
  async stream(
    requestId: string,
    { gateway = 0, body = '{}', headers = {} }: StreamOptions = {},
  ): Promise<CallResult> {
    return call(`http://${this.gatewayAddress(gateway)}${streamPath}`, {
      method: 'POST',
      body,
      headers: { ...createStreamHeaders(requestId), ...headers },
    });
  }

  sidecarProgram(index: number): RunningProgram {
    const program = this.#sidecars[index];
    if (program === undefined) {
      throw new Error(`no sidecar with index ${index}`);
    }
    return program;
  }

  gatewayAddress(index: number): string {
    return this.#gateways[index]?.address ?? '';
  }

  /** Address at which a load balancer asks a gateway whether it is ready. */
  readinessAddress(index: number): string {
    return this.#gateways[index]?.readiness ?? '';
  }

  gatewayProgram(index: number): RunningProgram {
    const program = this.#gateways[index]?.program;
    if (program === undefined) {
      throw new Error(`no gateway with index ${index}`);
    }
    return program;
  }

  /** Starts a gateway that has ended again, at its address. */
  restartGateway(index: number): void {
    const gateway = this.#gateways[index];
    if (gateway !== undefined) {
      gateway.program = this.#run('gateway', gateway.settingsFile, gateway.name);
    }
  }

  /** `serviceFields`: fields of the service in addition to the usual ones. */
  manifest(version: number, serviceFields: object = {}): string {
    const model = { name: 'small', size: 2, share: 1, pace: 1, load_s: 1, warm_s: 0.1 };
    return JSON.stringify({
      version,
      routes: [
        {
          name: 'draft',
          host,
          path_prefix: '/draft/',
          kind: 'streaming',
          timeout_ms: 20_000,
          service: 'engines',
          attempts: 3,
          resumable: true,
        },
      ],
      services: [
        {
          name: 'engines',
          max_conns: 100,
          ...serviceFields,
          runtime: {
            capacity: 8,
            models: [model],
            loads_per_s: 10,
            loads_at_once: 10,
            keeps: 1,
            form_ms: 30,
          },
        },
      ],
      tenants: [{ name: 'branch', api_keys: [apiKey] }],
    });
  }

  /** Index of the control host that is the leader according to its own log output; -1 if there is none. */
  findLeader(): number {
    return controlHosts.findIndex((each) => {
      const lines = this.#control.get(each)?.output.match(/"view":\{"type":"(\w+)"/g) ?? [];
      return (
        this.#control.get(each)?.isRunning === true && lines.at(-1)?.includes('leader"') === true
      );
    });
  }

  /** Address at which a control host serves the command line. */
  controlAddress(index: number): string {
    return `${controlHosts[index] ?? ''}:${this.#ports.internal}`;
  }

  /** Address at which a control host serves operators and runners. */
  operatorsAddress(index: number): string {
    return `${controlHosts[index] ?? ''}:${this.#ports.operators}`;
  }

  /** Path of the settings file of a control host. */
  settingsFile(index: number): string {
    return this.#settingsFiles.get(controlHosts[index] ?? '') ?? '';
  }

  controlProgram(index: number): RunningProgram {
    const program = this.#control.get(controlHosts[index] ?? '');
    if (program === undefined) {
      throw new Error(`no control host with index ${index}`);
    }
    return program;
  }

  killControl(index: number): void {
    this.controlProgram(index).signal('SIGKILL');
  }

  restartControl(index: number): void {
    const name = controlHosts[index] ?? '';
    const file = this.#settingsFiles.get(name) ?? '';
    this.#control.set(name, this.#run('control', file, `control ${name}`));
  }

  /** Kills the sidecar of an engine and starts it again, while the engine keeps running. */
  async restartSidecar(index: number): Promise<RunningProgram> {
    const before = this.#sidecars[index];
    before?.signal('SIGKILL');
    await before?.waitForExit();
    this.startSidecar(index);
    return this.sidecarProgram(index);
  }

  get #seeds(): object {
    const addresses = controlHosts
      .slice(0, initialControlCount)
      .map((each) => `${each}:${this.#ports.operators}`);
    return { addresses, port: this.#ports.internal };
  }

  async #startControl(): Promise<void> {
    for (let index = 0; index < initialControlCount; index += 1) {
      await this.startControl(index);
    }
  }

  /** Starts a control host with an empty data folder. */
  async startControl(index: number): Promise<void> {
    const name = controlHosts[index] ?? '';
    const control = {
      name,
      region: 'r',
      failureDomain: `z${index}`,
      listen: `${name}:${this.#ports.internal}`,
      seeds: this.#seeds,
      dataFolder: join(this.group.folder, name),
      ...this.#describeEvacuation({ failureDomains: controlHosts.map((_, place) => `z${place}`) }),
    };
    const settings = { operators: `${name}:${this.#ports.operators}`, control };
    const file = await this.group.write(`control-${index}.json`, JSON.stringify(settings));
    this.#settingsFiles.set(name, file);
    this.restartControl(index);
  }

  async #startSidecars(): Promise<void> {
    for (const [index, engine] of this.engines.entries()) {
      const settings = {
        host: `side-${index}`,
        failureDomain: 'z0',
        engine: engine.address,
        service: 'engines',
        seeds: this.#seeds,
      };
      const file = await this.group.write(`sidecar-${index}.json`, JSON.stringify(settings));
      this.#settingsFiles.set(nameSidecar(index), file);
      this.startSidecar(index);
    }
  }

  /** Starts the sidecar of an engine, which must not be running. */
  startSidecar(index: number): void {
    const label = nameSidecar(index);
    const file = this.#settingsFiles.get(label) ?? '';
    this.#sidecars[index] = this.#run('sidecar', file, label);
  }

  /** `contracts`: what the deployment has to cope with, as in the gateway's settings. */
  async startGateway(contracts: readonly string[] = []): Promise<void> {
    const name = `gateway-${this.#gateways.length + 1}`;
    const listen = `127.0.0.1:${await reservePort()}`;
    const readiness = `127.0.0.1:${await reservePort()}`;
    const settings = {
      name,
      failureDomain: 'z0',
      listen,
      readiness,
      seeds: this.#seeds,
      bounds: { graceMilliseconds: this.#graceMilliseconds },
      ...this.#describeEvacuation({}),
      contracts,
      ...this.#gatewaySettings,
    };
    const file = await this.group.write(`${name}.json`, JSON.stringify(settings));
    const program = this.#run('gateway', file, name);
    this.#gateways.push({ name, address: listen, readiness, settingsFile: file, program });
  }

  #describeEvacuation(more: object): object {
    const limitMilliseconds = this.#evacuationLimit;
    return limitMilliseconds === undefined ? {} : { evacuation: { ...more, limitMilliseconds } };
  }

  #run(name: ProgramName, settingsFile: string, label: string): RunningProgram {
    return this.group.start(`${this.#build}/${name}`, ['--settings', settingsFile], {
      label,
      ...(this.#build === 'deployment' && { nodeFlags: deploymentFlags[name] }),
    });
  }
}

/** Headers of a request for a stream, as a caller sends them. */
export function createStreamHeaders(requestId: string): Readonly<Record<string, string>> {
  return {
    host,
    authorization: `Bearer ${apiKey}`,
    'x-attempt-id': requestId,
    'x-deadline-ms': '20000',
    'x-model': 'small',
  };
}

function nameSidecar(index: number): string {
  return `sidecar ${index}`;
}

interface CallOptions {
  readonly method: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Uses undici's request, because fetch sets the Host field itself. */
async function call(url: string, options: CallOptions): Promise<CallResult> {
  const { request } = await import('undici');
  try {
    const { statusCode, headers, body } = await request(url, {
      method: options.method as 'GET',
      ...(options.body === undefined ? {} : { body: options.body }),
      headers: { ...options.headers },
    });
    return await body.text().then(
      (text) => ({ status: statusCode, headers, body: text, isWhole: true }),
      () => ({ status: statusCode, headers, body: '', isWhole: false }),
    );
  } catch (error) {
    return { status: 0, headers: {}, body: String(error), isWhole: false };
  }
}
