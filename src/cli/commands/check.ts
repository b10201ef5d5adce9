import type { Result } from 'ts-results';

import { checkConfiguration } from '../../configuration/index.js';
import {
  controlSettingsSchema,
  gatewaySettingsSchema,
  parseSettings,
  sidecarSettingsSchema,
  type DocumentProblem,
} from '../../settings/index.js';
import type { CommandContext } from '../context.js';
import { exitCodes, type ExitCode } from '../exit-codes.js';
import { formatProblems, readFile } from './files.js';

/** Kinds of file that `check` accepts. */
export const checkKinds = ['configuration', 'gateway', 'sidecar', 'control'] as const;
export type CheckKind = (typeof checkKinds)[number];

/** `check FILE`: validates a file without contacting any host. */
export function runCheck(context: CommandContext, file: string, kind: CheckKind): ExitCode {
  const { output } = context;
  const text = readFile(context, file);
  if (text.err) {
    return output.fail(exitCodes.invalidFile, text.val);
  }
  const warnings = check(file, text.val, kind);
  if (warnings.err) {
    return output.fail(exitCodes.invalidFile, formatProblems(warnings.val));
  }
  if (warnings.val.length > 0) {
    output.note(formatProblems(warnings.val));
  }
  return output.succeed({ file, kind, warnings: warnings.val }, `${file}: right (${kind})\n`);
}

type Checked = Result<readonly DocumentProblem[], readonly DocumentProblem[]>;

/** Returns warnings for a valid file and errors for an invalid one. */
function check(file: string, text: string, kind: CheckKind): Checked {
  switch (kind) {
    case 'configuration':
      return checkConfiguration(text, file).map(({ warnings }) => warnings);
    case 'gateway':
      return parseSettings(gatewaySettingsSchema, file, text).map(() => []);
    case 'sidecar':
      return parseSettings(sidecarSettingsSchema, file, text).map(() => []);
    case 'control':
      return parseSettings(controlSettingsSchema, file, text).map(() => []);
  }
}
