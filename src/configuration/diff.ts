import type { Configuration } from '../model/index.js';

/** Says in one line each what differs between two configurations, for operators who race each other. */

/** Named parts of a configuration, compared by name. */
type Section = 'groups' | 'services' | 'accounts' | 'objectives';

const sectionWords: Readonly<Record<Section, string>> = {
  groups: 'group',
  services: 'service',
  accounts: 'client account',
  objectives: 'objective',
};

/** What turns `before` into `after`, one line for each part or value that differs; empty when nothing does. */
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

/** The lines joined to one, cut off after `limit` of them. */
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
    const title = `${sectionWords[section]} ${name}`;
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
  const left = flatten('', before);
  const right = flatten('', after);
  const paths = [...new Set([...left.keys(), ...right.keys()])];
  return paths
    .filter((path) => left.get(path) !== right.get(path))
    .map(
      (path) => `${title}: ${path} ${left.get(path) ?? 'unset'} -> ${right.get(path) ?? 'unset'}`,
    );
}

/** Paths and JSON texts of the values inside; an array counts as one value. */
function flatten(path: string, value: unknown): Map<string, string> {
  if (value === undefined) {
    return new Map();
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return new Map([[path, JSON.stringify(value)]]);
  }
  const entries = Object.entries(value).flatMap(([key, inner]) => [
    ...flatten(path === '' ? key : `${path}.${key}`, inner),
  ]);
  return new Map(entries);
}
