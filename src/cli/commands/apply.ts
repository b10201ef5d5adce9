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
  return flags.base === undefined
    ? applyAfterReading(context, file, text.val, checked.val, flags)
    : submitDocument(context, {
        file,
        checked: checked.val,
        flags,
        base: undefined,
        done: `applied ${file}`,
      });
}

/** Says what differs from the configuration in force, and takes its revision as the base unless the file names its own. */
async function applyAfterReading(
  context: ControlContext,
  file: string,
  text: string,
  checked: CheckedConfiguration,
  flags: ChangeFlags,
): Promise<ExitCode> {
  const { output, client } = context;
  const view = await client.get('configuration');
  if (view.err) {
    return output.refuse(view.val);
  }
  const { revision, configuration } = view.val;
  const base = findWrittenRevision(text) ?? revision;
  const differences = describeDifferences(configuration, checked.configuration);
  if (differences.length === 0) {
    const said = `nothing differs from revision ${revision}; nothing was changed\n`;
    return output.succeed({ revision, differences }, said);
  }
  const done = differences.join('\n');
  return submitDocument(context, { file, checked, flags, base, done });
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

interface DocumentChange {
  readonly file: string;
  readonly checked: CheckedConfiguration;
  readonly flags: ChangeFlags;
  /** Base where no flag names it. */
  readonly base: number | undefined;
  readonly done: string;
}

function submitDocument(context: ControlContext, change: DocumentChange): Promise<ExitCode> {
  return submitChange(context, {
    content: { type: 'applyConfiguration', document: change.checked.configuration },
    flags: change.flags,
    readRevision: change.base,
    typed: `pistachiospoke apply ${change.file}`,
    done: change.done,
  });
}
