import { z } from 'zod';

import { groupSchema, failureSchema, acceptedChangeSchema } from './snapshot.js';
import type { CommandAnswer } from './state.js';

/** Codec for command answers, which control sends to operators and gateways as JSON. */

const answerSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('changed'), revision: z.int() }),
  z.strictObject({ type: z.literal('placed'), groups: z.array(groupSchema).readonly() }),
  z.strictObject({ type: z.literal('claimed') }),
  z.strictObject({ type: z.literal('settled') }),
  z.strictObject({ type: z.literal('routed'), version: z.int() }),
  z.strictObject({ type: z.literal('recorded') }),
  z.strictObject({ type: z.literal('planned') }),
  z.strictObject({ type: z.literal('subjectReleased'), isChanged: z.boolean() }),
  z.strictObject({ type: z.literal('evacuationSet'), isChanged: z.boolean() }),
  z.strictObject({
    type: z.literal('refused'),
    failure: failureSchema,
    winner: acceptedChangeSchema.nullable().transform((winner) => winner ?? undefined),
    differences: z.array(z.string()).readonly(),
  }),
]);

/** Encodes an answer as JSON text for SubmitResponse. */
export function encodeCommandAnswer(answer: CommandAnswer): string {
  return JSON.stringify(
    answer.type === 'refused' ? { ...answer, winner: answer.winner ?? null } : answer,
  );
}

/** Decodes the answer of a SubmitResponse; undefined if the text is not a valid answer. */
export function decodeCommandAnswer(text: string): CommandAnswer | undefined {
  try {
    return answerSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}
