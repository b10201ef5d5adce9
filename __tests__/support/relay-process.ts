/** Relays in a process of their own, so that they carry bytes while the process of the test runs no code. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { buildSync } from 'esbuild';

import type { RelayCommand, RelayReply, RelayRequest, RelayResponse } from './relay-messages.js';
import type { RelayMode } from './relay.js';

const programSource = fileURLToPath(new URL('relay-program.ts', import.meta.url));

interface PendingRequest {
  readonly resolve: (reply: RelayReply) => void;
  readonly reject: (error: Error) => void;
}

export class RelayProcess {
  readonly #child: ChildProcess;
  readonly #folder: string;
  readonly #exited: Promise<unknown>;
  readonly #pending = new Map<number, PendingRequest>();
  #nextId = 0;

  private constructor(child: ChildProcess, folder: string) {
    this.#child = child;
    this.#folder = folder;
    this.#exited = once(child, 'exit');
    child.on('message', (response: RelayResponse) => {
      this.#settle(response);
    });
    child.on('exit', () => {
      this.#rejectAll();
    });
  }

  static async start(): Promise<RelayProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'pistachiospoke-relays-'));
    const program = join(folder, 'relay-program.mjs');
    buildSync({
      entryPoints: [programSource],
      outfile: program,
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'esm',
    });
    return new RelayProcess(fork(program, { execArgv: [] }), folder);
  }

  /** Starts a relay to the target (`ip:port`) and returns the address at which it listens. */
  async open(target: string): Promise<string> {
    const reply = await this.#request({ type: 'open', target });
    if (reply.type !== 'opened') {
      throw new Error(`unexpected reply: ${reply.type}`);
    }
    return reply.address;
  }

  /** Sets the mode of the relays at these addresses, of all at the same time; resolves once it holds. */
  async setMode(addresses: readonly string[], mode: RelayMode): Promise<void> {
    await this.#request({ type: 'set mode', addresses, mode });
  }

  /** Silences the open connections of the relays at these addresses for good; resolves once they are silent. */
  async swallowOpenConnections(addresses: readonly string[]): Promise<void> {
    await this.#request({ type: 'swallow open connections', addresses });
  }

  /** Longest time in milliseconds in which the relays ran no code since their start. */
  async measureLongestStall(): Promise<number> {
    const reply = await this.#request({ type: 'measure stalls' });
    if (reply.type !== 'measured') {
      throw new Error(`unexpected reply: ${reply.type}`);
    }
    return reply.longestStall;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Ends the process and with it all relays; their connections are closed. */
  async stop(): Promise<void> {
    this.signal('SIGKILL');
    await this.#exited;
    await rm(this.#folder, { recursive: true, force: true });
  }

  #request(command: RelayCommand): Promise<RelayReply> {
    const id = this.#nextId;
    this.#nextId += 1;
    const request: RelayRequest = { id, command };
    return new Promise((resolve, reject) => {
      this.#pending.set(id, { resolve, reject });
      this.#child.send(request, (error) => {
        if (error !== null) {
          this.#pending.delete(id);
          reject(error);
        }
      });
    });
  }

  #settle({ id, reply }: RelayResponse): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    if (reply.type === 'failed') {
      pending?.reject(new Error(reply.reason));
      return;
    }
    pending?.resolve(reply);
  }

  #rejectAll(): void {
    for (const { reject } of this.#pending.values()) {
      reject(new Error('the process of the relays has exited'));
    }
    this.#pending.clear();
  }
}
