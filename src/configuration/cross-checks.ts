import type { Configuration, Selector } from '../model/index.js';
import type { SchemaFinding } from '../settings/index.js';

/** Checks that look at several parts of a configuration at once. */

/** A finding that stops a configuration, or one that only warns. */
export interface CrossFinding extends SchemaFinding {
  readonly severity: 'error' | 'warning';
}

/** All findings, errors before warnings. */
export function crossCheck(configuration: Configuration): readonly CrossFinding[] {
  return [
    ...findRepeatedNames(configuration),
    ...findRepeatedKeys(configuration),
    ...findUnknownServices(configuration),
    ...findUnknownTargets(configuration),
    ...findOverlaps(configuration),
  ];
}

function findRepeatedNames(configuration: Configuration): readonly CrossFinding[] {
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
  return [...findRepeats(declared, 'name'), ...findRepeats(accounts, 'name')];
}

/** One key for two accounts: callers of the second would be taken for the first, and pay from its limits. */
function findRepeatedKeys(configuration: Configuration): readonly CrossFinding[] {
  const keys = configuration.accounts.map((account, index) => ({
    name: account.keySha256,
    path: ['accounts', index],
  }));
  return findRepeats(keys, 'keySha256');
}

interface Named {
  readonly name: string;
  readonly path: readonly (string | number)[];
}

function findRepeats(parts: readonly Named[], field: string): readonly CrossFinding[] {
  return parts.flatMap((part, index) => {
    const first = parts.findIndex((other) => other.name === part.name);
    if (first === index) {
      return [];
    }
    const message = `expected one of its own, but ${parts[first]?.path.join(' ') ?? ''} has it too`;
    return [{ severity: 'error' as const, path: [...part.path, field], message }];
  });
}

function findUnknownServices(configuration: Configuration): readonly CrossFinding[] {
  const known = configuration.services.map((service) => service.name);
  const reaches = (['groups', 'services'] as const).flatMap((section) =>
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
  return [...reaches, ...accounts]
    .filter(({ name }) => !known.includes(name))
    .map(({ name, path }) => ({ severity: 'error', path, message: describeUnknown(name, known) }));
}

function findUnknownTargets(configuration: Configuration): readonly CrossFinding[] {
  const known = [...configuration.groups, ...configuration.services].map((part) => part.name);
  return configuration.objectives.flatMap(({ target }, index) =>
    known.includes(target)
      ? []
      : [
          {
            severity: 'error' as const,
            path: ['objectives', index, 'target'],
            message: describeUnknown(target, known),
          },
        ],
  );
}

function describeUnknown(name: string, known: readonly string[]): string {
  return `"${name}" is not declared, expected one of: ${known.join(', ') || '(none is)'}`;
}

/** Two group declarations that may claim one host: placement then decides, which may not be what was meant. */
function findOverlaps(configuration: Configuration): readonly CrossFinding[] {
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

/** Whether labels exist that match both selectors. */
function isOverlapping(left: Selector, right: Selector): boolean {
  return Object.entries(left).every(([key, values]) => {
    const others = right[key];
    return others === undefined || values.some((value) => others.includes(value));
  });
}
