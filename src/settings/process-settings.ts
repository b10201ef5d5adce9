import type { z } from 'zod';

import { readProcessFlags } from './command-line.js';
import { loadSettings } from './load.js';
import { formatProblem } from './problem.js';

/** Exit code of a process whose settings do not pass their checks. */
const invalidSettingsExitCode = 3;

/** Settings of a process, and the file that they are from. */
export interface SettingsOfFile<Settings> {
  readonly settings: Settings;
  readonly file: string;
}

/** Reads the flags and the settings of a process; prints what is wrong and exits where there is nothing to run. */
export function readProcessSettings<Settings>(
  name: string,
  description: string,
  schema: z.ZodType<Settings>,
): Settings {
  return readSettingsOfFile(name, description, schema).settings;
}

/** The same, with the file, for processes that read it again. */
export function readSettingsOfFile<Settings>(
  name: string,
  description: string,
  schema: z.ZodType<Settings>,
): SettingsOfFile<Settings> {
  const flags = readProcessFlags(name, description, process.argv);
  const loaded = loadSettings(schema, flags.settings, flags.set);
  if (loaded.err) {
    for (const problem of loaded.val) {
      process.stderr.write(`${formatProblem(problem)}\n`);
    }
    process.exit(invalidSettingsExitCode);
  }
  if (flags.check) {
    process.stdout.write(`${flags.settings}: correct\n`);
    process.exit(0);
  }
  return { settings: loaded.unwrap(), file: flags.settings };
}
