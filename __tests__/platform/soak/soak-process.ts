import { setTimeout as pause } from 'node:timers/promises';

import type { RunningProgram } from '../../support/index.js';
import type { ProcessLives } from './process-lives.js';

/** A process of a soak that is stopped, killed and frozen, and started again once it has ended. */

/** Time in milliseconds after which a process that does not end is killed. */
const hangLimit = 30_000;

export type SoakSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGKILL' | 'SIGSTOP';

export interface SoakProcessOptions {
  readonly label: string;
  readonly index: number;
  readonly lives: ProcessLives;
  readonly readProgram: () => RunningProgram;
  readonly start: () => void;
  readonly note: (text: string) => void;
}

export class SoakProcess {
  readonly #options: SoakProcessOptions;
  #isEnding = false;
  #isFrozen = false;

  constructor(options: SoakProcessOptions) {
    this.#options = options;
  }

  get label(): string {
    return this.#options.label;
  }

  /** Key of the present life. */
  get life(): string {
    const { lives, index } = this.#options;
    return lives.currentKey(index);
  }

  get isRunning(): boolean {
    return this.#options.readProgram().isRunning;
  }

  /** Whether the process has written anything: before that, no program can handle a signal. */
  get hasWritten(): boolean {
    return this.#options.readProgram().output !== '';
  }

  /** Sends SIGTERM and waits for the end. A process that is ending already gets one more. */
  async stop(): Promise<void> {
    this.signal('SIGTERM');
    if (!this.#isEnding) {
      await this.#waitForEnd();
    }
  }

  /** Stops the process and starts it again at once; whoever made it end starts it. */
  async restart(): Promise<void> {
    const isFirst = !this.#isEnding;
    await this.stop();
    if (isFirst) {
      this.#start();
    }
  }

  /** Kills the process and starts it again; a process that is ending or frozen is left alone. */
  async kill(): Promise<void> {
    if (this.#isEnding || this.#isFrozen) {
      return;
    }
    this.signal('SIGKILL');
    await this.#waitForEnd();
    this.#start();
  }

  async freeze(duration: number): Promise<void> {
    if (this.#isFrozen) {
      return;
    }
    this.#isFrozen = true;
    const { lives, index } = this.#options;
    const { life } = this;
    const from = performance.now();
    const program = this.signal('SIGSTOP');
    await pause(duration);
    program.signal('SIGCONT');
    this.#options.note(`${this.label} goes on`);
    if (life === this.life) {
      lives.noteFreeze(index, from);
    }
    this.#isFrozen = false;
  }

  signal(signal: SoakSignal): RunningProgram {
    const { lives, index, note, readProgram } = this.#options;
    const program = readProgram();
    note(`${this.label} gets ${signal}`);
    switch (signal) {
      case 'SIGTERM':
        lives.noteStop(index);
        break;
      case 'SIGKILL':
        lives.noteKill(index);
        break;
      case 'SIGHUP':
        lives.noteHangUp(index);
        break;
      case 'SIGINT':
      case 'SIGSTOP':
        break;
    }
    program.signal(signal);
    return program;
  }

  async #waitForEnd(): Promise<void> {
    this.#isEnding = true;
    const { lives, index, note, readProgram } = this.#options;
    const program = readProgram();
    const killer = setTimeout(() => {
      note(`${this.label} hangs and is killed`);
      program.signal('SIGKILL');
    }, hangLimit);
    const exit = await program.waitForExit();
    clearTimeout(killer);
    lives.noteEnd(index, exit, program.output !== '');
    note(`${this.label} has ended with ${String(exit.code ?? exit.signal)}`);
  }

  #start(): void {
    const { lives, index, start } = this.#options;
    lives.noteRestart(index);
    start();
    this.#isEnding = false;
  }
}
