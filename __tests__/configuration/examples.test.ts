import { readdirSync, readFileSync } from 'node:fs';

import { describe, expect, it } from 'vitest';

import { checkConfiguration } from '../../src/configuration/index.js';
import {
  controlSettingsSchema,
  formatProblem,
  gatewaySettingsSchema,
  parseSettings,
  sidecarSettingsSchema,
} from '../../src/settings/index.js';

const folder = 'examples';
const operatorSettings = 'operator.jsonc';

/** Finds the problems of an example file; the first word of its name selects the schema. */
function findProblems(file: string): readonly string[] {
  const text = readFileSync(file, 'utf8');
  const name = file.slice(file.lastIndexOf('/') + 1);
  const role = /^[a-z]+/.exec(name)?.[0] ?? '';
  switch (role) {
    case 'configuration': {
      const result = checkConfiguration(text, file);
      return (result.ok ? result.val.warnings : result.val).map(formatProblem);
    }
    case 'control':
      return describeErrors(parseSettings(controlSettingsSchema, file, text));
    case 'gateway':
      return describeErrors(parseSettings(gatewaySettingsSchema, file, text));
    case 'sidecar':
      return describeErrors(parseSettings(sidecarSettingsSchema, file, text));
    default:
      return [`${file}: no schema for this file name`];
  }
}

function describeErrors(result: ReturnType<typeof parseSettings<unknown>>): readonly string[] {
  return result.ok ? [] : result.val.map(formatProblem);
}

const files = readdirSync(folder, { recursive: true })
  .map((name) => `${folder}/${String(name)}`)
  .filter((name) => name.endsWith('.jsonc') && !name.endsWith(operatorSettings));

describe('examples', () => {
  it('exist for the local trial and both users', () => {
    expect(files.length).toBeGreaterThanOrEqual(26);
  });

  it.each(files)('%s passes its check without a warning', (file) => {
    expect(findProblems(file)).toEqual([]);
  });
});
