import type { Configuration, Selector } from '../model/index.js';
import type { SchemaFinding } from '../settings/index.js';

/** Checks that involve several parts of a configuration, such as references and uniqueness. */

/** A finding that makes a configuration invalid (error) or only gives a warning. */
export interface CrossCheckFinding extends SchemaFinding {
  readonly severity: 'error' | 'warning';
}

/** Returns all findings, errors before warnings. */
export function crossCheck(configuration: Configuration): readonly CrossCheckFinding[] {
  return [
    ...findDuplicateNames(configuration),
    ...findDuplicateKeys(configuration),
    ...findUndeclaredServices(configuration),
    ...findUndeclaredTargets(configuration),
    ...findOverlappingGroups(configuration),
  ];
}

function findDuplicateNames(configuration: Configuration): readonly CrossCheckFinding[] {
  const declared = [
    ...configuration.groups.map((part, index) => ({ name: part.name, path: ['groups', index] })),
    ...configuration.services.map((part, index) => ({
      name: part.name,
      path: ['services', index],
    })),
  ];
  const accounts = configuration.accounts.map((part, index) => ({
    name: part.name,
    path: ['accounts', index],
  }));
  return [...findDuplicates(declared, 'name'), ...findDuplicates(accounts, 'name')];
}

/** Finds keys shared by two accounts: callers of the second account would be identified as the first and use up its limits. */
function findDuplicateKeys(configuration: Configuration): readonly CrossCheckFinding[] {
  const keys = configuration.accounts.map((account, index) => ({
    name: account.keySha256,
    path: ['accounts', index],
  }));
  return findDuplicates(keys, 'keySha256');
}

interface NamedPart {
  readonly name: string;
  readonly path: readonly (string | number)[];
}

function findDuplicates(parts: readonly NamedPart[], field: string): readonly CrossCheckFinding[] {
  return parts.flatMap((part, index) => {
    const first = parts.findIndex((other) => other.name === part.name);
    if (first === index) {
      return [];
    }
    const message = `expected one of its own, but ${parts[first]?.path.join(' ') ?? ''} has it too`;
    return [{ severity: 'error' as const, path: [...part.path, field], message }];
  });
}

function findUndeclaredServices(configuration: Configuration): readonly CrossCheckFinding[] {
  const known = configuration.services.map((service) => service.name);
  const policyReferences = (['groups', 'services'] as const).flatMap((section) =>
    configuration[section].flatMap((part, index) =>
      part.reachableBy.services.map((name, position) => ({
        name,
        path: [section, index, 'reachableBy', 'services', position],
      })),
    ),
  );
  const accounts = configuration.accounts.flatMap((account, index) =>
    account.service === undefined
      ? []
      : [{ name: account.service, path: ['accounts', index, 'service'] }],
  );
  return [...policyReferences, ...accounts]
    .filter(({ name }) => !known.includes(name))
    .map(({ name, path }) => ({
      severity: 'error',
      path,
      message: describeUndeclaredName(name, known),
    }));
}

function findUndeclaredTargets(configuration: Configuration): readonly CrossCheckFinding[] {
  const known = [...configuration.groups, ...configuration.services].map((part) => part.name);
  return configuration.objectives.flatMap(({ target }, index) =>
    known.includes(target)
      ? []
      : [
          {
            severity: 'error' as const,
            path: ['objectives', index, 'target'],
            message: describeUndeclaredName(target, known),
          },
        ],
  );
}

function describeUndeclaredName(name: string, known: readonly string[]): string {
  return `"${name}" is not declared, expected one of: ${known.join(', ') || '(none is)'}`;
}

/** Finds group declarations that may match the same host: placement then decides between them, which may not be intended. */
function findOverlappingGroups(configuration: Configuration): readonly CrossCheckFinding[] {
  const { groups } = configuration;
  return groups.flatMap((group, index) => {
    const other = groups
      .slice(0, index)
      .find((earlier) => isOverlapping(earlier.hosts, group.hosts));
    if (other === undefined) {
      return [];
    }
    const message = `a host could match these hosts and those of "${other.name}" too`;
    return [{ severity: 'warning' as const, path: ['groups', index, 'hosts'], message }];
  });
}

/** Whether there can be labels that match both selectors. */
function isOverlapping(left: Selector, right: Selector): boolean {
  return Object.entries(left).every(([key, values]) => {
    const others = right[key];
    return others === undefined || values.some((value) => others.includes(value));
  });
}
