/** Starts the built programs for tests and benchmarks, and stops only the processes that it started. */
import { spawn, type ChildProcess } from 'node:child_process';
import { existsSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { waitFor } from './wait.js';
import { Watchdog } from './watchdog.js';

export interface ProgramExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

export interface ProgramOptions {
  /** Identifies the program in messages of failed tests; the program's name by default. */
  readonly label?: string;
  readonly environment?: Readonly<Record<string, string>>;
  /** Command-line flags for Node itself, in place of those that the program names in its first line. */
  readonly nodeFlags?: readonly string[];
}

/** Maximum number of characters kept of a program's output. */
const outputLimit = 2_000_000;
/** Time after SIGTERM until a program is killed. */
const stopTimeout = 30_000;

/** Number of the level "warn" in log lines. */
const warnLevel = 40;

/** A program started by a {@link ProgramGroup}. */
export class RunningProgram {
  readonly label: string;
  readonly #child: ChildProcess;
  readonly #exited: Promise<ProgramExit>;
  #output = '';
  #exit: ProgramExit | undefined;

  constructor(label: string, child: ChildProcess) {
    this.label = label;
    this.#child = child;
    this.#exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.#exit = { code, signal };
        resolve(this.#exit);
      });
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream?.setEncoding('utf8').on('data', (text: string) => {
        this.#output = (this.#output + text).slice(-outputLimit);
      });
    }
  }

  get pid(): number {
    if (this.#child.pid === undefined) {
      throw new Error(`${this.label} did not start`);
    }
    return this.#child.pid;
  }

  /** Combined standard output and error so far. */
  get output(): string {
    return this.#output;
  }

  /** The last lines of the output, up to so many, that are log lines of at least the level "warn". */
  listWarnings(count: number): readonly string[] {
    return this.#output.split('\n').filter(isWarning).slice(-count);
  }

  get isRunning(): boolean {
    return this.#exit === undefined;
  }

  /** Sends a signal: SIGTERM stops the program gracefully, SIGSTOP suspends it, SIGCONT resumes it, SIGKILL simulates a crash. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) {
      this.#child.kill(signal);
    }
  }

  waitForExit(): Promise<ProgramExit> {
    return this.#exited;
  }

  /** Waits until the output matches the pattern; throws if the program exits first. */
  waitForOutput(pattern: RegExp): Promise<RegExpMatchArray> {
    return waitFor(`${this.label} to write ${String(pattern)}`, () => {
      const match = this.#output.match(pattern);
      if (match === null && !this.isRunning) {
        throw new Error(`${this.label} exited: ${this.#output.slice(-2000)}`);
      }
      return match ?? undefined;
    });
  }

  /** Stops the program with SIGTERM, or with SIGKILL if it does not exit in time; the returned exit tells which. */
  async stop(): Promise<ProgramExit> {
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const killer = setTimeout(() => {
      this.signal('SIGKILL');
    }, stopTimeout);
    const exit = await this.#exited;
    clearTimeout(killer);
    return exit;
  }
}

function isWarning(line: string): boolean {
  const level = /^\{"level":(\d+),/.exec(line)?.[1];
  return level !== undefined && Number(level) >= warnLevel;
}

let watchdog: Watchdog | undefined;

/** Makes sure that a program does not outlive this process. */
function watch(child: ChildProcess): void {
  const { pid } = child;
  if (pid === undefined) {
    return;
  }
  const started = (watchdog ??= new Watchdog());
  started.add(pid);
  child.once('exit', () => {
    started.remove(pid);
  });
}

/** Owns the programs and the temporary folder of one test; `stop` stops the programs and removes the folder. */
export class ProgramGroup {
  readonly folder: string;
  readonly #programs: RunningProgram[] = [];

  private constructor(folder: string) {
    this.folder = folder;
  }

  static async create(): Promise<ProgramGroup> {
    return new ProgramGroup(await mkdtemp(join(tmpdir(), 'pistachiospoke-test-')));
  }

  get programs(): readonly RunningProgram[] {
    return this.#programs;
  }

  /** Writes a file into the group's folder and returns its path. */
  async write(name: string, content: string): Promise<string> {
    const path = join(this.folder, name);
    await writeFile(path, content);
    return path;
  }

  /** Starts `dist/NAME.js`. */
  start(
    name: string,
    commandArguments: readonly string[],
    options: ProgramOptions = {},
  ): RunningProgram {
    const file = join('dist', `${name}.js`);
    if (!existsSync(file)) {
      throw new Error(`${file} is missing: run npm run build first`);
    }
    const [command, ...flags] =
      options.nodeFlags === undefined ? [file] : [process.execPath, ...options.nodeFlags, file];
    const child = spawn(command, [...flags, ...commandArguments], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...options.environment },
    });
    const program = new RunningProgram(options.label ?? name, child);
    this.#programs.push(program);
    watch(child);
    return program;
  }

  /** Runs a program until it exits; used for the CLI. */
  async run(
    name: string,
    commandArguments: readonly string[],
  ): Promise<{ readonly exit: ProgramExit; readonly output: string }> {
    const program = this.start(name, commandArguments);
    const exit = await program.waitForExit();
    return { exit, output: program.output };
  }

  /** Stops all programs in reverse order of their start and removes the folder. */
  async stop(): Promise<void> {
    for (const program of [...this.#programs].reverse()) {
      if (program.isRunning) {
        await program.stop();
      }
    }
    await rm(this.folder, { recursive: true, force: true });
  }
}
