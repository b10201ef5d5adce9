import {
  checkConfiguration,
  describeDifferences,
  type CheckedConfiguration,
} from '../../configuration/index.js';
import type { ControlContext } from '../context.js';
import { exitCodes, type ExitCode } from '../exit-codes.js';
import { submitChange, type ChangeFlags } from '../submit-change.js';
import { formatProblems, readFile } from './files.js';

/** `apply FILE`: makes a configuration document the one in force. */
export async function runApply(
  context: ControlContext,
  file: string,
  flags: ChangeFlags,
): Promise<ExitCode> {
  const { output } = context;
  const text = readFile(context, file);
  if (text.err) {
    return output.fail(exitCodes.invalidFile, text.val);
  }
  const checked = checkConfiguration(text.val, file);
  if (checked.err) {
    return output.fail(exitCodes.invalidFile, formatProblems(checked.val));
  }
  checked.val.warnings.forEach((warning) => {
    output.note(formatProblems([warning]));
  });
  const base = flags.base ?? findWrittenRevision(text.val);
  return applyChecked(context, file, { ...flags, base }, checked.val);
}

/**
 * The revision in the first line that `get` writes.
 * Two operators get, edit and apply, one after the other: from a base read at the time of `apply` the second would
 * take back what the first did, and nobody would be told.
 */
function findWrittenRevision(text: string): number | undefined {
  const digits = /^\/\/ revision (\d+)\s*\n/.exec(text)?.[1];
  return digits === undefined ? undefined : Number(digits);
}

async function applyChecked(
  context: ControlContext,
  file: string,
  flags: ChangeFlags,
  checked: CheckedConfiguration,
): Promise<ExitCode> {
  const { output, client } = context;
  const document = checked.configuration;
  const typed = `pistachiospoke apply ${file}`;
  const content = { type: 'applyConfiguration', document } as const;
  if (flags.base !== undefined) {
    const done = `applied ${file}`;
    return submitChange(context, { content, flags, readRevision: undefined, typed, done });
  }
  const view = await client.get('configuration');
  if (view.err) {
    return output.refuse(view.val);
  }
  const { revision, configuration } = view.val;
  const differences = describeDifferences(configuration, document);
  if (differences.length === 0) {
    const said = `nothing differs from revision ${revision}; nothing was changed\n`;
    return output.succeed({ revision, differences }, said);
  }
  const done = differences.join('\n');
  return submitChange(context, { content, flags, readRevision: revision, typed, done });
}
