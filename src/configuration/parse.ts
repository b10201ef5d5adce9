import { Err, Ok, type Result } from 'ts-results';

import type { Configuration } from '../model/index.js';
import { describeIssues, TextDocument, type DocumentProblem } from '../settings/index.js';
import { crossCheck } from './cross-checks.js';
import { configurationSchema } from './schema.js';

/** A problem of a configuration document. */
export type ConfigurationProblem = DocumentProblem;

/** A valid configuration, with warnings about parts that may not be intended. */
export interface CheckedConfiguration {
  readonly configuration: Configuration;
  readonly warnings: readonly ConfigurationProblem[];
}

/** Parses and validates a configuration document (JSON with comments). */
export function parseConfiguration(
  text: string,
  fileName: string,
): Result<Configuration, readonly ConfigurationProblem[]> {
  return checkConfiguration(text, fileName).map((checked) => checked.configuration);
}

/** Like `parseConfiguration`, but also returns the warnings for a valid document. */
export function checkConfiguration(
  text: string,
  fileName: string,
): Result<CheckedConfiguration, readonly ConfigurationProblem[]> {
  const document = new TextDocument(fileName, text);
  const syntaxProblems = document.findSyntaxProblems();
  if (syntaxProblems.length > 0) {
    return new Err(syntaxProblems);
  }
  const value = document.readValue();
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) {
    const findings = describeIssues(configurationSchema, value, parsed.error);
    return new Err(findings.map(({ path, message }) => document.createProblem(path, message)));
  }
  const problems = crossCheck(parsed.data).map(({ path, message, severity }) =>
    document.createProblem(path, message, severity),
  );
  if (problems.some((problem) => problem.severity === 'error')) {
    return new Err(problems);
  }
  return new Ok({ configuration: parsed.data, warnings: problems });
}
