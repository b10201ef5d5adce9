import { rm } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import {
  ProgramGroup,
  RelayProcess,
  reservePort,
  waitFor,
  type RelayMode,
  type RunningProgram,
} from '../support/index.js';

/** Control hosts as processes that reach each other through relays, and callers that wait as long as operators and runners do. */

/** Time in milliseconds without a response after which a caller moves on to another host. */
const callerPatience = 1000;
const hostCount = 3;
const timeouts = { heartbeatMilliseconds: 100, electionMilliseconds: 500 };
const heartbeatInterval = 200;

interface ControlHost {
  readonly name: string;
  readonly listen: string;
  readonly operators: string;
  readonly dataFolder: string;
}

/** The way from one control host to another. */
interface Link {
  readonly from: ControlHost;
  readonly to: ControlHost;
  /** Address of the relay that carries it. */
  readonly relay: string;
}

/** What a caller got: the status and the body, or silence. */
export type CallOutcome =
  | { readonly type: 'answered'; readonly status: number; readonly body: string }
  | { readonly type: 'silence' };

export class RelayedControl {
  readonly #group: ProgramGroup;
  readonly #hosts: readonly ControlHost[];
  readonly #relays: RelayProcess;
  readonly #links: readonly Link[];
  readonly #programs = new Map<ControlHost, RunningProgram>();
  #sequence = 0;

  private constructor(
    group: ProgramGroup,
    hosts: readonly ControlHost[],
    relays: RelayProcess,
    links: readonly Link[],
  ) {
    this.#group = group;
    this.#hosts = hosts;
    this.#relays = relays;
    this.#links = links;
  }

  static async start(): Promise<RelayedControl> {
    const group = await ProgramGroup.create();
    const names = Array.from({ length: hostCount }, (_, index) => `control-${index + 1}`);
    const hosts = await Promise.all(
      names.map(async (name): Promise<ControlHost> => ({
        name,
        listen: `127.0.0.1:${await reservePort()}`,
        operators: `127.0.0.1:${await reservePort()}`,
        dataFolder: join(group.folder, name),
      })),
    );
    const pairs = hosts.flatMap((from) =>
      hosts.filter((to) => to !== from).map((to) => ({ from, to })),
    );
    const relays = await RelayProcess.start();
    const links = await Promise.all(
      pairs.map(async (pair): Promise<Link> => ({
        ...pair,
        relay: await relays.open(pair.to.listen),
      })),
    );
    const control = new RelayedControl(group, hosts, relays, links);
    for (const [index, host] of hosts.entries()) {
      await group.write(`${host.name}.json`, JSON.stringify(control.#createSettings(host)));
      control.start(index);
    }
    return control;
  }

  get hostCount(): number {
    return this.#hosts.length;
  }

  /** Starts a host that does not run. */
  start(index: number): void {
    const host = this.#find(index);
    const file = join(this.#group.folder, `${host.name}.json`);
    const program = this.#group.start('platform/control', ['--settings', file], {
      label: host.name,
    });
    this.#programs.set(host, program);
  }

  signal(index: number, signal: NodeJS.Signals): void {
    this.#findProgram(index).signal(signal);
  }

  /** Ends a host without a warning, also one that is suspended; resolves once its process is gone. */
  async kill(index: number): Promise<void> {
    this.signal(index, 'SIGKILL');
    await this.#findProgram(index).waitForExit();
  }

  /** Stops a host as planned. */
  async stopHost(index: number): Promise<void> {
    await this.#findProgram(index).stop();
  }

  /** Removes all that a host that does not run has stored. */
  async wipe(index: number): Promise<void> {
    await rm(this.#find(index).dataFolder, { recursive: true, force: true });
  }

  /** Sets the mode of all connections between a host and the others, which callers do not use. */
  async setLinks(index: number, mode: RelayMode): Promise<void> {
    const host = this.#find(index);
    const links = this.#links.filter(({ from, to }) => from === host || to === host);
    await this.#relays.setMode(
      links.map(({ relay }) => relay),
      mode,
    );
  }

  /** Loses track of all open connections between control hosts, as a device between them may. */
  async silenceConnections(): Promise<void> {
    await this.#relays.swallowOpenConnections(this.#links.map(({ relay }) => relay));
  }

  /** Longest time in milliseconds in which the relays carried nothing because their process ran no code. */
  measureLongestRelayStall(): Promise<number> {
    return this.#relays.measureLongestStall();
  }

  /** Reads the manifest at one host. */
  read(host: number): Promise<CallOutcome> {
    return this.#call(host, 'GET', '/Config.Get');
  }

  /** Sends a manifest to one host. */
  putAt(host: number, manifest: string): Promise<CallOutcome> {
    return this.#call(host, 'POST', '/Config.Put', manifest);
  }

  /** Sends a manifest to one host after the other until one accepts it. */
  async put(manifest: string): Promise<void> {
    await waitFor('the manifest to be accepted', async () => {
      for (let host = 0; host < this.hostCount; host += 1) {
        const outcome = await this.putAt(host, manifest);
        if (outcome.type === 'answered' && outcome.status === 200) {
          return true;
        }
      }
      return false;
    });
  }

  /** Sends the heartbeats of one runner for each host, to that host, until the signal is aborted. */
  async sendHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (let host = 0; host < this.hostCount; host += 1) {
        void this.#sendHeartbeat(host);
      }
      await sleep(heartbeatInterval);
    }
  }

  async stop(): Promise<void> {
    await this.#relays.stop();
    await this.#group.stop();
  }

  #createSettings(host: ControlHost): object {
    const { name, listen, operators, dataFolder } = host;
    const place = { region: 'test', failureDomain: name };
    const voters = this.#hosts.map((each) => ({
      name: each.name,
      address: each === host ? listen : this.#findRelay(host, each),
    }));
    return { operators, control: { name, ...place, listen, voters, dataFolder, timeouts } };
  }

  #findRelay(from: ControlHost, to: ControlHost): string {
    const link = this.#links.find((each) => each.from === from && each.to === to);
    if (link === undefined) {
      throw new Error(`no link from ${from.name} to ${to.name}`);
    }
    return link.relay;
  }

  #find(index: number): ControlHost {
    const host = this.#hosts[index];
    if (host === undefined) {
      throw new Error(`no control host with index ${index}`);
    }
    return host;
  }

  #findProgram(index: number): RunningProgram {
    const host = this.#find(index);
    const program = this.#programs.get(host);
    if (program === undefined) {
      throw new Error(`${host.name} was not started`);
    }
    return program;
  }

  #sendHeartbeat(host: number): Promise<CallOutcome> {
    this.#sequence += 1;
    const body = {
      service: 'desk',
      address: `127.0.0.1:${host + 1}`,
      zone: 'z0',
      version: '1',
      capacity: 1,
      state: 'ready',
      cold_left_ms: 0,
      sequence: this.#sequence,
    };
    return this.#call(host, 'POST', `/Instances.Heartbeat/i-${host}`, JSON.stringify(body));
  }

  async #call(host: number, method: 'GET' | 'POST', path: string, body = ''): Promise<CallOutcome> {
    const url = `http://${this.#find(host).operators}${path}`;
    const signal = AbortSignal.timeout(callerPatience);
    try {
      const response = await request(url, { method, signal, ...(body === '' ? {} : { body }) });
      return { type: 'answered', status: response.statusCode, body: await response.body.text() };
    } catch {
      return { type: 'silence' };
    }
  }
}
