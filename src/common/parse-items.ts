import { setImmediate as nextTurn } from 'node:timers/promises';

import type { z } from 'zod';

/** Items validated in one turn of the event loop, a few milliseconds of work. */
const itemsPerTurn = 100;

/** The outcome of validating a list: all items, or the issues, whose paths start with the index of the item. */
export type ParsedItems<Item> =
  | { readonly type: 'valid'; readonly items: readonly Item[] }
  | { readonly type: 'invalid'; readonly issues: readonly z.core.$ZodIssue[] };

/**
 * Validates the items of a long list over several turns of the event loop. Validated in one turn, a document of thousands of routes
 * delays the heartbeats of a control host for longer than the election timeout.
 */
export async function parseItems<Item>(
  schema: z.ZodType<Item>,
  values: readonly unknown[],
): Promise<ParsedItems<Item>> {
  const items: Item[] = [];
  const issues: z.core.$ZodIssue[] = [];
  for (const [index, value] of values.entries()) {
    if (index > 0 && index % itemsPerTurn === 0) {
      await nextTurn();
    }
    const parsed = schema.safeParse(value);
    if (parsed.success) {
      items.push(parsed.data);
    } else {
      issues.push(...parsed.error.issues.map((issue) => prefixPath(issue, index)));
    }
  }
  return issues.length === 0 ? { type: 'valid', items } : { type: 'invalid', issues };
}

function prefixPath(issue: z.core.$ZodIssue, index: number): z.core.$ZodIssue {
  return { ...issue, path: [index, ...issue.path] };
}
