import { Err, Ok, type Result } from 'ts-results';

import { formatProblem, type DocumentProblem } from '../../settings/index.js';
import type { CommandContext } from '../context.js';

/** Returns the text of a file, or one line saying why it cannot be read. */
export function readFile(context: CommandContext, path: string): Result<string, string> {
  try {
    return new Ok(context.environment.readText(path));
  } catch (error) {
    return new Err(
      `${path}: cannot be read: ${error instanceof Error ? error.message : 'unknown'}`,
    );
  }
}

/** Formats one line per problem. */
export function formatProblems(problems: readonly DocumentProblem[]): string {
  return problems.map(formatProblem).join('\n');
}
