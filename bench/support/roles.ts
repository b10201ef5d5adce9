/** A bench starts copies of itself for the other ends of a connection, each in a process of its own. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** A started copy. */
export interface RoleProcess {
  readonly pid: number;
  /** What the role said when it was ready, for example its address. */
  readonly ready: string;
  readonly stop: () => Promise<void>;
}

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
  return { pid: child.pid ?? 0, ready, stop: () => stopChild(child) };
}

/** Called by a role once it can be used. */
export function announceReady(text: string): void {
  process.send?.(text);
  // A role whose bench was killed would otherwise stay for ever.
  process.once('disconnect', () => process.exit(0));
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
