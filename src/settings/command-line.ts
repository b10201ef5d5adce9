import { Command, InvalidArgumentError } from 'commander';

import { parseOverride, type SettingsOverride } from './override.js';

/** Command-line flags that every process of the system accepts. */
export interface ProcessFlags {
  readonly settings: string;
  readonly set: readonly SettingsOverride[];
  /** Validate the settings and exit. */
  readonly check: boolean;
}

/** Parses the command-line flags of a process. Prints help or an error and exits if there is nothing to run. */
export function readProcessFlags(
  name: string,
  description: string,
  argv: readonly string[],
): ProcessFlags {
  const command = new Command(name)
    .description(description)
    .requiredOption('--settings <file>', 'settings, JSON with comments')
    .option('--set <path=value>', 'value in place of the file (repeatable)', collectOverride, [])
    .option('--check', 'check the settings and end', false)
    .addHelpText('after', `\nExample:\n  ${name} --settings ${name}.jsonc --set log.level=debug`);
  command.parse(argv);
  return command.opts<ProcessFlags>();
}

function collectOverride(
  text: string,
  previous: readonly SettingsOverride[],
): readonly SettingsOverride[] {
  const override = parseOverride(text);
  if (override === undefined) {
    throw new InvalidArgumentError('expected path=value, such as log.level=debug');
  }
  return [...previous, override];
}
