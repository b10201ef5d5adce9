import { Err, Ok, type Result } from 'ts-results';

import { createFailure, type Failure } from '../common/index.js';
import { formatPath } from '../settings/index.js';
import { routingDocumentSchema, type RoutingDocument } from './schema.js';

/** Validates routing documents before they are appended to the log. A document that fails is rejected and never takes effect. */

/** The document if it is complete and consistent; otherwise `invalidRouting` with all problems. */
export function checkRoutingDocument(value: unknown): Result<RoutingDocument, Failure> {
  const parsed = routingDocumentSchema.safeParse(value);
  if (!parsed.success) {
    return createInvalidResult(
      parsed.error.issues.map((issue) => `${formatPath(issue.path)}: ${issue.message}`),
    );
  }
  const problems = [
    ...findUnknownServices(parsed.data),
    ...findWeightlessRoutes(parsed.data),
    ...findDuplicates('service', parsed.data.services, ({ name }) => name),
    ...findDuplicates(
      'place',
      parsed.data.routes,
      ({ host, pathPrefix }) => `${host}${pathPrefix}`,
    ),
    ...findDuplicates('key', listKeys(parsed.data), ({ key }) => key, describeKeyOwner),
  ];
  return problems.length === 0 ? new Ok(parsed.data) : createInvalidResult(problems);
}

function createInvalidResult(problems: readonly string[]): Result<RoutingDocument, Failure> {
  return new Err(createFailure('invalidRouting', problems.join('; ')));
}

function findUnknownServices({ routes, services }: RoutingDocument): readonly string[] {
  const known = new Set(services.map(({ name }) => name));
  return routes.flatMap((route) =>
    route.targets
      .filter(({ service }) => !known.has(service))
      .map(({ service }) => `route ${route.name} names the unknown service ${service}`),
  );
}

function findWeightlessRoutes({ routes }: RoutingDocument): readonly string[] {
  return routes
    .filter(({ targets }) => targets.every(({ weight }) => weight === 0))
    .map(({ name }) => `the weights of route ${name} add up to 0`);
}

interface OwnedKey {
  readonly key: string;
  readonly account: string;
}

function listKeys({ accounts }: RoutingDocument): readonly OwnedKey[] {
  return (accounts ?? []).flatMap(({ name, keys }) =>
    [...new Set(keys)].map((key) => ({ key, account: name })),
  );
}

/** Keys are secret, so the message names only the account. */
function describeKeyOwner({ account }: OwnedKey): string {
  return `of account ${account}`;
}

function findDuplicates<Item>(
  what: string,
  items: readonly Item[],
  keyOf: (item: Item) => string,
  describe: (item: Item) => string = keyOf,
): readonly string[] {
  const seen = new Set<string>();
  return items.flatMap((item) => {
    const key = keyOf(item);
    const isDuplicate = seen.has(key);
    seen.add(key);
    return isDuplicate ? [`the ${what} ${describe(item)} stands twice`] : [];
  });
}
