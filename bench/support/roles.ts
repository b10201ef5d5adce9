/** A bench starts copies of itself for the other ends of a connection, each in a process of its own. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** A started copy. */
export interface RoleProcess {
  readonly pid: number;
  /** What the role said when it was ready, for example its address. */
  readonly ready: string;
  /** Asks the role something; `usage` is answered for every role. */
  readonly ask: (question: string) => Promise<string>;
  readonly stop: () => Promise<void>;
}

/** Usage of a role since its start. */
export interface RoleUsage {
  /** User and system time together, in milliseconds. */
  readonly cpuMilliseconds: number;
  /** Resident memory after a collection, in megabytes (2^20 bytes). */
  readonly residentMegabytes: number;
  /** Live heap after a collection, in megabytes. */
  readonly heapMegabytes: number;
}

/** Answers the questions that a role takes besides `usage`. */
export type RoleAnswerer = (question: string) => string | Promise<string>;

const roleFlag = '--role';

/** The role this process was started for, and its arguments; undefined in the bench itself. */
export function findRole():
  { readonly name: string; readonly options: readonly string[] } | undefined {
  const [flag, name, ...options] = process.argv.slice(2);
  return flag === roleFlag && name !== undefined ? { name, options } : undefined;
}

/** Starts this bench in a role and waits until it says that it is ready. */
export async function startRole(name: string, options: readonly string[]): Promise<RoleProcess> {
  const file = process.argv[1];
  if (file === undefined) {
    throw new Error('a bench is run as a file');
  }
  const child = fork(file, [roleFlag, name, ...options], { execArgv: ['--expose-gc'] });
  const ready = await waitForReady(child, name);
  return {
    pid: child.pid ?? 0,
    ready,
    ask: (question) => ask(child, question),
    stop: () => stopChild(child),
  };
}

/** Asks a role for its usage. */
export async function askUsage(role: RoleProcess): Promise<RoleUsage> {
  return JSON.parse(await role.ask('usage')) as RoleUsage;
}

/** Called by a role once it can be used; from then on it answers questions, one at a time. */
export function announceReady(text: string, answer: RoleAnswerer = () => ''): void {
  process.send?.(text);
  process.on('message', (question) => {
    void answerQuestion(String(question), answer);
  });
  // A role whose bench was killed would otherwise stay for ever.
  process.once('disconnect', () => process.exit(0));
}

async function answerQuestion(question: string, answer: RoleAnswerer): Promise<void> {
  process.send?.(question === 'usage' ? JSON.stringify(readOwnUsage()) : await answer(question));
}

function readOwnUsage(): RoleUsage {
  const { user, system } = process.cpuUsage();
  // The collection itself is not counted: the reading comes before it.
  globalThis.gc?.();
  const { rss, heapUsed } = process.memoryUsage();
  return {
    cpuMilliseconds: (user + system) / 1000,
    residentMegabytes: rss / 2 ** 20,
    heapMegabytes: heapUsed / 2 ** 20,
  };
}

async function ask(child: ChildProcess, question: string): Promise<string> {
  const answer = once(child, 'message');
  child.send(question);
  const [message] = (await answer) as unknown[];
  return String(message);
}

async function waitForReady(child: ChildProcess, name: string): Promise<string> {
  const ready = once(child, 'message').then(([message]: unknown[]) => String(message));
  const failed = once(child, 'exit').then(() => {
    throw new Error(`role ${name} ended before it was ready`);
  });
  return Promise.race([ready, failed]);
}

async function stopChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return;
  }
  child.kill('SIGKILL');
  await once(child, 'exit');
}
