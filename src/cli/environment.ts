import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { setTimeout as wait } from 'node:timers/promises';

import { createIdentifier, type Milliseconds, type WallTime } from '../common/index.js';

/** External dependencies of the command line; tests substitute their own. */
export interface CommandLineEnvironment {
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
  readonly readText: (path: string) => string;
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Name of the user at the terminal. */
  readonly user: string;
  readonly wall: () => WallTime;
  readonly createChangeId: () => string;
  readonly sleep: (duration: Milliseconds) => Promise<void>;
}

const brokenPipe = 'EPIPE';

/** The terminal, files and clock of this process. */
export function createProcessEnvironment(): CommandLineEnvironment {
  process.stdout.on('error', ignoreBrokenPipe);
  process.stderr.on('error', ignoreBrokenPipe);
  return {
    write: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
    readText: (path) => readFileSync(path, 'utf8'),
    variables: process.env,
    user: readUserName(),
    wall: () => Date.now(),
    createChangeId: createIdentifier,
    sleep: async (duration) => {
      await wait(duration);
    },
  };
}

/** A reader such as `head` may close the output early; the command goes on to its own exit code. */
function ignoreBrokenPipe(error: NodeJS.ErrnoException): void {
  if (error.code !== brokenPipe) {
    throw error;
  }
}

/** An account missing from the system's user database has no name; its changes are recorded as by `unknown`. */
function readUserName(): string {
  try {
    return userInfo().username;
  } catch {
    return 'unknown';
  }
}
