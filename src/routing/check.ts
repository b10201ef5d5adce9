import { Err, Ok, type Result } from 'ts-results';

import { createFailure, type Failure } from '../common/index.js';
import { formatPath } from '../settings/index.js';
import { routingDocumentSchema, type RoutingDocument } from './schema.js';

/** Checks of a routing document that go before the log: a document that fails one is refused and never in force. */

/** The document if it is whole and consistent; otherwise `invalidRouting` with everything that is wrong. */
export function checkRoutingDocument(value: unknown): Result<RoutingDocument, Failure> {
  const parsed = routingDocumentSchema.safeParse(value);
  if (!parsed.success) {
    return refuse(
      parsed.error.issues.map((issue) => `${formatPath(issue.path)}: ${issue.message}`),
    );
  }
  const problems = [
    ...findUnknownServices(parsed.data),
    ...findWeightlessRoutes(parsed.data),
    ...findRepeated('service', parsed.data.services, ({ name }) => name),
    ...findRepeated('place', parsed.data.routes, ({ host, pathPrefix }) => `${host}${pathPrefix}`),
    ...findRepeated('key', listKeys(parsed.data), ({ key }) => key, describeKeyOwner),
  ];
  return problems.length === 0 ? new Ok(parsed.data) : refuse(problems);
}

function refuse(problems: readonly string[]): Result<RoutingDocument, Failure> {
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

/** A key is a secret, so the message names the account only. */
function describeKeyOwner({ account }: OwnedKey): string {
  return `of account ${account}`;
}

function findRepeated<Item>(
  what: string,
  items: readonly Item[],
  keyOf: (item: Item) => string,
  describe: (item: Item) => string = keyOf,
): readonly string[] {
  const seen = new Set<string>();
  return items.flatMap((item) => {
    const key = keyOf(item);
    const isRepeated = seen.has(key);
    seen.add(key);
    return isRepeated ? [`the ${what} ${describe(item)} stands twice`] : [];
  });
}
