import { z } from 'zod';

/** Converts schema issues into messages that state what was expected. */

/** A violation of a schema. */
export interface SchemaFinding {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/** Describes all schema violations of the value. */
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

/** Property names that the schema allows at a path. */
function listNames(schema: z.core.$ZodType, path: readonly PropertyKey[]): readonly string[] {
  const inner = unwrapSchema(schema);
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

/** Removes the wrappers for read-only, default, optional and transformed values. */
function unwrapSchema(schema: z.core.$ZodType): z.core.$ZodType {
  if (schema instanceof z.ZodPipe) {
    return unwrapSchema(schema.in);
  }
  if (
    schema instanceof z.ZodReadonly ||
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault ||
    schema instanceof z.ZodOptional
  ) {
    return unwrapSchema(schema.unwrap());
  }
  return schema;
}
