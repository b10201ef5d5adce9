import {
  checkConfiguration,
  describeDifferences,
  type CheckedConfiguration,
} from '../../configuration/index.js';
import type { ControlContext } from '../context.js';
import { exitCodes, type ExitCode } from '../exit-codes.js';
import { submitChange, type ChangeFlags } from '../submit-change.js';
import { formatProblems, readFile } from './files.js';

/** `apply FILE`: puts a configuration document in force. */
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
    ? applyOntoCurrentRevision(context, file, text.val, checked.val, flags)
    : submitDocument(context, {
        file,
        checked: checked.val,
        flags,
        base: undefined,
        successText: `applied ${file}`,
      });
}

/** Reports the differences from the configuration in force. Its revision is the base unless the file names one. */
async function applyOntoCurrentRevision(
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
  const base = parseRevisionComment(text) ?? revision;
  const differences = describeDifferences(configuration, checked.configuration);
  if (differences.length === 0) {
    const message = `nothing differs from revision ${revision}; nothing was changed\n`;
    return output.succeed({ revision, differences }, message);
  }
  const successText = differences.join('\n');
  return submitDocument(context, { file, checked, flags, base, successText });
}

/**
 * Reads the revision from the first line that `get` writes.
 * If two operators both get and edit, then apply one after the other, a base read at the time of `apply` would let the
 * second silently revert the change of the first.
 */
function parseRevisionComment(text: string): number | undefined {
  const digits = /^\/\/ revision (\d+)\s*\n/.exec(text)?.[1];
  return digits === undefined ? undefined : Number(digits);
}

interface DocumentChange {
  readonly file: string;
  readonly checked: CheckedConfiguration;
  readonly flags: ChangeFlags;
  /** Base revision to use when no flag gives one. */
  readonly base: number | undefined;
  readonly successText: string;
}

function submitDocument(context: ControlContext, change: DocumentChange): Promise<ExitCode> {
  return submitChange(context, {
    content: { type: 'applyConfiguration', document: change.checked.configuration },
    flags: change.flags,
    readRevision: change.base,
    commandText: `pistachiospoke apply ${change.file}`,
    successText: change.successText,
  });
}
