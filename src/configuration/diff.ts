import type { Configuration } from '../model/index.js';

/** Describes the differences between two configurations, for operators who make conflicting changes at the same time. */

/** Sections of a configuration whose entries are matched by name. */
type Section = 'groups' | 'services' | 'accounts' | 'objectives';

const sectionLabels: Readonly<Record<Section, string>> = {
  groups: 'group',
  services: 'service',
  accounts: 'client account',
  objectives: 'objective',
};

/** Lists the changes from `before` to `after`, one line for each added, removed or changed value. Empty if they are equal. */
export function describeDifferences(
  before: Configuration,
  after: Configuration,
): readonly string[] {
  return [
    ...describeSection('groups', before, after),
    ...describeSection('services', before, after),
    ...describeSection('accounts', before, after),
    ...describeValues('policy', before.policy, after.policy),
    ...describeSection('objectives', before, after),
  ];
}

/** Joins the first `limit` lines into one and states how many more there are. */
export function summarizeDifferences(lines: readonly string[], limit = 3): string {
  if (lines.length === 0) {
    return 'nothing';
  }
  const shown = lines.slice(0, limit).join('; ');
  return lines.length > limit ? `${shown}; and ${lines.length - limit} more` : shown;
}

function describeSection(
  section: Section,
  before: Configuration,
  after: Configuration,
): readonly string[] {
  const left = collectByName(section, before);
  const right = collectByName(section, after);
  const names = [...new Set([...left.keys(), ...right.keys()])];
  return names.flatMap((name) => {
    const title = `${sectionLabels[section]} ${name}`;
    if (!left.has(name)) {
      return [`${title} added`];
    }
    if (!right.has(name)) {
      return [`${title} removed`];
    }
    return describeValues(title, left.get(name), right.get(name));
  });
}

function collectByName(section: Section, configuration: Configuration): Map<string, unknown> {
  if (section === 'objectives') {
    return new Map(configuration.objectives.map((objective) => [objective.target, objective]));
  }
  return new Map(configuration[section].map((part) => [part.name, part]));
}

function describeValues(title: string, before: unknown, after: unknown): readonly string[] {
  const left = flattenValues('', before);
  const right = flattenValues('', after);
  const paths = [...new Set([...left.keys(), ...right.keys()])];
  return paths
    .filter((path) => left.get(path) !== right.get(path))
    .map(
      (path) => `${title}: ${path} ${left.get(path) ?? 'unset'} -> ${right.get(path) ?? 'unset'}`,
    );
}

/** Maps the path of each nested value to its JSON text; an array counts as one value. */
function flattenValues(path: string, value: unknown): Map<string, string> {
  if (value === undefined) {
    return new Map();
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return new Map([[path, JSON.stringify(value)]]);
  }
  const entries = Object.entries(value).flatMap(([key, inner]) => [
    ...flattenValues(path === '' ? key : `${path}.${key}`, inner),
  ]);
  return new Map(entries);
}
