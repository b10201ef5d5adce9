import { readFileSync } from 'node:fs';

import { Err, Ok, type Result } from 'ts-results';
import type { z } from 'zod';

import { describeIssues, type SchemaFinding } from './check.js';
import { overrideValue, type SettingsOverride } from './override.js';
import { formatPath, type DocumentProblem } from './problem.js';
import { TextDocument } from './text-document.js';

/** A problem of a settings file or of a flag. */
export type SettingsProblem = DocumentProblem;

/** Reads and validates a settings file; values from flags take precedence over the file. */
export function loadSettings<Settings>(
  schema: z.ZodType<Settings>,
  filePath: string,
  overrides: readonly SettingsOverride[] = [],
): Result<Settings, readonly SettingsProblem[]> {
  const text = readSettingsText(filePath);
  return text.andThen((content) => parseSettings(schema, filePath, content, overrides));
}

/** Reads the text of a settings file. */
export function readSettingsText(filePath: string): Result<string, readonly SettingsProblem[]> {
  try {
    return new Ok(readFileSync(filePath, 'utf8'));
  } catch (error) {
    const message = `cannot be read: ${error instanceof Error ? error.message : String(error)}`;
    const place = { type: 'file', file: filePath, line: 1, column: 1 } as const;
    return new Err([{ severity: 'error', place, path: '', message }]);
  }
}

/** Parses and validates settings given as text. */
export function parseSettings<Settings>(
  schema: z.ZodType<Settings>,
  fileName: string,
  text: string,
  overrides: readonly SettingsOverride[] = [],
): Result<Settings, readonly SettingsProblem[]> {
  const document = new TextDocument(fileName, text);
  const syntaxProblems = document.findSyntaxProblems();
  if (syntaxProblems.length > 0) {
    return new Err(syntaxProblems);
  }
  const value = overrides.reduce(overrideValue, document.readValue());
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return new Ok(parsed.data);
  }
  const findings = describeIssues(schema, value, parsed.error);
  return new Err(findings.map((finding) => locate(document, overrides, finding)));
}

/** Reports the problem of a value set by a flag at the flag, because the line in the file may be correct. */
function locate(
  document: TextDocument,
  overrides: readonly SettingsOverride[],
  finding: SchemaFinding,
): SettingsProblem {
  const path = formatPath(finding.path);
  const override = overrides.findLast((candidate) => isPathWithin(path, candidate.path));
  if (override === undefined) {
    return document.createProblem(finding.path, finding.message);
  }
  const place = { type: 'flag', flag: `--set ${override.path}` } as const;
  return { severity: 'error', place, path, message: finding.message };
}

function isPathWithin(path: string, outer: string): boolean {
  return path === outer || path.startsWith(`${outer}.`) || path.startsWith(`${outer}[`);
}
