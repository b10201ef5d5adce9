import { setTimeout as sleep } from 'node:timers/promises';
import { join } from 'node:path';

import { request } from 'undici';

import { ProgramGroup, reservePort, SwallowingRelay, waitFor } from '../support/index.js';

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
}

/** What a caller got: the status and the body, or silence. */
export type CallOutcome =
  | { readonly type: 'answered'; readonly status: number; readonly body: string }
  | { readonly type: 'silence' };

export class RelayedControl {
  readonly #group: ProgramGroup;
  readonly #hosts: readonly ControlHost[];
  readonly #relays: readonly SwallowingRelay[];
  #sequence = 0;

  private constructor(
    group: ProgramGroup,
    hosts: readonly ControlHost[],
    relays: readonly SwallowingRelay[],
  ) {
    this.#group = group;
    this.#hosts = hosts;
    this.#relays = relays;
  }

  static async start(): Promise<RelayedControl> {
    const group = await ProgramGroup.create();
    const hosts = await Promise.all(
      Array.from({ length: hostCount }, async (_, index): Promise<ControlHost> => ({
        name: `control-${index + 1}`,
        listen: `127.0.0.1:${await reservePort()}`,
        operators: `127.0.0.1:${await reservePort()}`,
      })),
    );
    const relays: SwallowingRelay[] = [];
    const reach = async (from: ControlHost, to: ControlHost): Promise<string> => {
      if (from === to) {
        return to.listen;
      }
      const relay = await SwallowingRelay.open(to.listen);
      relays.push(relay);
      return relay.address;
    };
    for (const host of hosts) {
      const voters = await Promise.all(
        hosts.map(async (each) => ({ name: each.name, address: await reach(host, each) })),
      );
      const { name, listen, operators } = host;
      const place = { region: 'test', failureDomain: name };
      const dataFolder = join(group.folder, name);
      const control = { name, ...place, listen, voters, dataFolder, timeouts };
      const file = await group.write(`${name}.json`, JSON.stringify({ operators, control }));
      group.start('platform/control', ['--settings', file], { label: name });
    }
    return new RelayedControl(group, hosts, relays);
  }

  get hostCount(): number {
    return this.#hosts.length;
  }

  /** Loses track of all open connections between control hosts, as a device between them may. */
  silenceConnections(): void {
    this.#relays.forEach((relay) => relay.swallowOpenConnections());
  }

  /** Reads the manifest at one host. */
  read(host: number): Promise<CallOutcome> {
    return this.#call(host, 'GET', '/Config.Get');
  }

  /** Sends a manifest to one host after the other until one accepts it. */
  async put(manifest: string): Promise<void> {
    await waitFor('the manifest to be accepted', async () => {
      for (let host = 0; host < this.hostCount; host += 1) {
        const outcome = await this.#call(host, 'POST', '/Config.Put', manifest);
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
    await Promise.all(this.#relays.map((relay) => relay.close()));
    await this.#group.stop();
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
    const url = `http://${this.#hosts[host]?.operators ?? ''}${path}`;
    const signal = AbortSignal.timeout(callerPatience);
    try {
      const response = await request(url, { method, signal, ...(body === '' ? {} : { body }) });
      return { type: 'answered', status: response.statusCode, body: await response.body.text() };
    } catch {
      return { type: 'silence' };
    }
  }
}
