import { Err, Ok, type Result } from 'ts-results';

import { createFailure, type Failure } from '../../common/index.js';
import { checkRoutingDocument, packDocument } from '../../routing/index.js';
import { crossCheck } from '../../configuration/index.js';
import { formatPath } from '../../settings/index.js';
import { commandSchema, type Command } from './commands.js';

/** Formats a command for the log or for another control host. */
export function formatCommand(command: Command): string {
  return JSON.stringify(
    command.type === 'putRouting'
      ? { ...command, document: packDocument(command.document) }
      : command,
  );
}

/** Parses a command from the log. */
export function parseCommand(text: string): Result<Command, Failure> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return new Err(createFailure('invalidCommand', 'not JSON'));
  }
  return checkCommand(value);
}

/** Checks whether the state machine can read a command. */
export function checkCommand(value: unknown): Result<Command, Failure> {
  const parsed = commandSchema.safeParse(value);
  if (parsed.success) {
    return new Ok(parsed.data);
  }
  const details = parsed.error.issues.map((issue) => `${formatPath(issue.path)}: ${issue.message}`);
  return new Err(createFailure('invalidCommand', details.join('; ')));
}

/**
 * Parses a submitted command and validates it before it is appended to the log.
 * The validation is not repeated when the command is applied: a control host of a newer version with an additional check
 * would refuse a committed change that the others have accepted, and their states would diverge for good.
 */
export async function checkSubmittedCommand(text: string): Promise<Result<Command, Failure>> {
  const parsed = parseCommand(text);
  if (parsed.ok && parsed.val.type === 'putRouting') {
    const checked = await checkRoutingDocument(parsed.val.document);
    return checked.err ? checked : parsed;
  }
  return parsed.andThen(checkConfiguration);
}

function checkConfiguration(command: Command): Result<Command, Failure> {
  if (command.type !== 'applyConfiguration') {
    return new Ok(command);
  }
  const errors = crossCheck(command.document).filter((finding) => finding.severity === 'error');
  if (errors.length === 0) {
    return new Ok(command);
  }
  const details = errors.map((error) => `${formatPath(error.path)}: ${error.message}`);
  return new Err(createFailure('invalidConfiguration', details.join('; ')));
}
