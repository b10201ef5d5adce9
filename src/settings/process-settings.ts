import type { z } from 'zod';

import { readProcessFlags } from './command-line.js';
import { parseSettings, readSettingsText } from './load.js';
import { formatProblem } from './problem.js';

/** Exit code of a process whose settings are invalid. */
const invalidSettingsExitCode = 3;

/** The settings of a process, and the file and the text they were loaded from. */
export interface SettingsWithFile<Settings> {
  readonly settings: Settings;
  readonly file: string;
  readonly text: string;
}

/** Reads the flags and settings of a process. Prints the problems and exits if they are invalid; also exits after `--check`. */
export function readProcessSettings<Settings>(
  name: string,
  description: string,
  schema: z.ZodType<Settings>,
): Settings {
  return readSettingsWithFile(name, description, schema).settings;
}

/** Like `readProcessSettings`, but also returns the file and its text, for processes that reload it. */
export function readSettingsWithFile<Settings>(
  name: string,
  description: string,
  schema: z.ZodType<Settings>,
): SettingsWithFile<Settings> {
  const flags = readProcessFlags(name, description, process.argv);
  const text = readSettingsText(flags.settings);
  const loaded = text.andThen((content) => {
    return parseSettings(schema, flags.settings, content, flags.set);
  });
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
  return { settings: loaded.unwrap(), file: flags.settings, text: text.unwrap() };
}
