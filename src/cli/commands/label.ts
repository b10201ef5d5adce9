import { Err, Ok, type Result } from 'ts-results';

import type { ControlContext } from '../context.js';
import { exitCodes, type ExitCode } from '../exit-codes.js';
import { submitHostChange, type HostChangeFlags } from '../submit-host-change.js';

/** `label HOST key=value key-`: sets and removes labels of one host. */
export async function runLabel(
  context: ControlContext,
  host: string,
  labelArguments: readonly string[],
  flags: HostChangeFlags,
): Promise<ExitCode> {
  const labels = parseLabels(labelArguments);
  if (labels.err) {
    return context.output.fail(exitCodes.usage, labels.val);
  }
  return submitHostChange(context, {
    host,
    content: { type: 'setHostLabels', host, labels: labels.val },
    flags,
    commandText: `pistachiospoke label ${host} ${labelArguments.join(' ')}`,
    successText: `host ${host}: ${labelArguments.join(' ')}`,
  });
}

type LabelChanges = Readonly<Record<string, string | null>>;

function parseLabels(words: readonly string[]): Result<LabelChanges, string> {
  const labels: Record<string, string | null> = {};
  for (const word of words) {
    const match = /^([A-Za-z0-9][A-Za-z0-9._-]*?)(?:=(.*)|-)$/.exec(word);
    const key = match?.[1];
    if (key === undefined) {
      return new Err(`"${word}" is no label, expected key=value to set or key- to take away`);
    }
    if (key in labels) {
      return new Err(`label ${key} is given twice`);
    }
    labels[key] = match?.[2] ?? null;
  }
  return new Ok(labels);
}
