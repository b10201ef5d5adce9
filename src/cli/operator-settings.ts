import { Err, Ok, type Result } from 'ts-results';
import { z } from 'zod';

import { parseAddress } from '../common/index.js';
import { formatProblem, loadSettings } from '../settings/index.js';
import type { CommandLineEnvironment } from './environment.js';

/** How the command line finds control: flags override environment variables, which override the settings file. */

/** Settings of the command line. */
const operatorSettingsSchema = z
  .strictObject({
    control: z.array(z.string()).readonly().default([]),
    /** Name shown to other operators; defaults to the user's name. */
    operator: z.string().min(1).max(200).optional(),
  })
  .readonly();

type OperatorSettings = z.infer<typeof operatorSettingsSchema>;

/** Flags that every command accepts. */
export interface GlobalFlags {
  readonly control: readonly string[] | undefined;
  readonly settings: string | undefined;
  readonly operator: string | undefined;
  readonly timeout: number;
  readonly json: boolean;
}

/** How to reach control, and as which operator. */
export interface OperatorConnection {
  /** `ip:port` of control hosts, tried in this order. */
  readonly control: readonly string[];
  readonly operator: string;
}

/** Combines flags, environment variables and settings. An error is one line for the terminal. */
export function resolveConnection(
  flags: GlobalFlags,
  environment: CommandLineEnvironment,
): Result<OperatorConnection, string> {
  return readSettings(flags, environment).andThen((settings) => {
    const control = findControl(flags, environment, settings);
    if (control.length === 0) {
      return new Err(
        'name a control host: --control ip:port, PISTACHIOSPOKE_CONTROL or --settings',
      );
    }
    const invalidAddress = control.find((address) => parseAddress(address) === undefined);
    if (invalidAddress !== undefined) {
      return new Err(`"${invalidAddress}" is no address of a control host, expected ip:port`);
    }
    const operator = flags.operator ?? settings.operator ?? environment.user;
    return new Ok({ control, operator });
  });
}

function readSettings(
  flags: GlobalFlags,
  environment: CommandLineEnvironment,
): Result<OperatorSettings, string> {
  const path = flags.settings ?? environment.variables.PISTACHIOSPOKE_SETTINGS;
  if (path === undefined) {
    return new Ok({ control: [] });
  }
  const settings = loadSettings(operatorSettingsSchema, path);
  return settings.mapErr((problems) => problems.map(formatProblem).join('\n'));
}

function findControl(
  flags: GlobalFlags,
  environment: CommandLineEnvironment,
  settings: OperatorSettings,
): readonly string[] {
  if (flags.control !== undefined) {
    return flags.control;
  }
  const variable = environment.variables.PISTACHIOSPOKE_CONTROL ?? '';
  const fromVariable = variable.split(',').filter((address) => address !== '');
  return fromVariable.length > 0 ? fromVariable : settings.control;
}
