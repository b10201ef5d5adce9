import { Err, Ok, type Result } from 'ts-results';
import { z } from 'zod';

import { createFailure, parseItems, type Failure } from '../common/index.js';
import { formatPath } from '../settings/index.js';
import { routeSchema, routingDocumentSchema, type RoutingDocument } from './schema.js';

/** Validates routing documents before they are appended to the log. A document that fails is rejected and never takes effect. */

/** Visible characters of Latin-1, with spaces and tabs between them. */
const fieldValue = /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/** A document whose routes are still to be validated. */
const outlineSchema = z.strictObject({
  ...routingDocumentSchema.unwrap().shape,
  routes: z.array(z.unknown()),
});

/** The document if it is complete and consistent; otherwise `invalidRouting` with all problems. */
export async function checkRoutingDocument(
  value: unknown,
): Promise<Result<RoutingDocument, Failure>> {
  const outline = outlineSchema.safeParse(value);
  if (!outline.success) {
    return createInvalidResult(describeIssues(outline.error.issues));
  }
  const routes = await parseItems(routeSchema, outline.data.routes);
  if (routes.type === 'invalid') {
    return createInvalidResult(describeIssues(routes.issues, 'routes.'));
  }
  const document = { ...outline.data, routes: routes.items };
  const problems = [
    ...findUnknownServices(document),
    ...findWeightlessRoutes(document),
    ...findUnsendableAccounts(document),
    ...findDuplicates('service', document.services, ({ name }) => name),
    ...findDuplicates('place', document.routes, ({ host, pathPrefix }) => `${host}${pathPrefix}`),
    ...findDuplicates('key', listKeys(document), ({ key }) => key, describeKeyOwner),
  ];
  return problems.length === 0 ? new Ok(document) : createInvalidResult(problems);
}

function describeIssues(issues: readonly z.core.$ZodIssue[], prefix = ''): readonly string[] {
  return issues.map((issue) => `${prefix}${formatPath(issue.path)}: ${issue.message}`);
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

/** Upstreams get the name in a header field; a request of an account whose name can't stand there would never be sent. */
function findUnsendableAccounts({ accounts }: RoutingDocument): readonly string[] {
  return (accounts ?? [])
    .filter(({ name }) => !fieldValue.test(name))
    .map(({ name }) => `the name of account ${JSON.stringify(name)} can't stand in a header field`);
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
