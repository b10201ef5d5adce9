import { z } from 'zod';

/** Turns what a schema finds into messages that say what was expected. */

/** One finding of a schema. */
export interface SchemaFinding {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** All findings of the schema for the value. */
export function describeIssues(
  schema: z.ZodType,
  value: unknown,
  error: z.ZodError,
): readonly SchemaFinding[] {
  return error.issues.flatMap((issue) => describeIssue(schema, value, issue));
}

function describeIssue(
  schema: z.ZodType,
  value: unknown,
  issue: z.core.$ZodIssue,
): readonly SchemaFinding[] {
  if (issue.code === 'unrecognized_keys') {
    const expected = listNames(schema, issue.path).join(', ');
    return issue.keys.map((key) => ({
      path: [...issue.path, key],
      message: `unknown name, expected one of: ${expected}`,
    }));
  }
  if (issue.code === 'invalid_type' && findValue(value, issue.path) === undefined) {
    return [{ path: issue.path, message: `missing, expected ${issue.expected}` }];
  }
  return [{ path: issue.path, message: issue.message.replace(/^Invalid input: /, '') }];
}

function findValue(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, part) =>
      typeof inner === 'object' && inner !== null ? Reflect.get(inner, part) : undefined,
    value,
  );
}

/** Names that the schema knows at a path. */
function listNames(schema: z.core.$ZodType, path: readonly PropertyKey[]): readonly string[] {
  const inner = unwrap(schema);
  const [first, ...rest] = path;
  if (inner instanceof z.ZodObject) {
    const shape = inner.shape as Readonly<Record<PropertyKey, z.core.$ZodType>>;
    const next = first === undefined ? undefined : shape[first];
    return next === undefined ? Object.keys(shape) : listNames(next, rest);
  }
  if (inner instanceof z.ZodArray) {
    return listNames(inner.element, rest);
  }
  return [];
}

/** The schema inside wrappers for read-only, default and optional values. */
function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
  if (schema instanceof z.ZodPipe) {
    return unwrap(schema.in);
  }
  if (
    schema instanceof z.ZodReadonly ||
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault ||
    schema instanceof z.ZodOptional
  ) {
    return unwrap(schema.unwrap());
  }
  return schema;
}
