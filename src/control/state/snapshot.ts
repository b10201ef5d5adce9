import { z } from 'zod';

import { createFailure, FailureError, parseJson, resultCodeNames } from '../../common/index.js';
import { configurationSchema } from '../../configuration/index.js';
import { ClaimRegister } from './claim-register.js';
import { groupPlacement } from './commands.js';
import { decodeRoutingState, encodeRoutingState, routingStateSchema } from './routing-state.js';
import type { ControlState } from './state.js';

/** Snapshots of the replicated state as JSON text, with maps as arrays; validated when decoded. */

/** A failure, in snapshots and in answers. */
export const failureSchema = z
  .strictObject({
    code: z.enum(resultCodeNames()),
    detail: z.string(),
    retryAfterMilliseconds: z.number().exactOptional(),
  })
  .readonly();

/** An accepted change, in snapshots and in answers to operators. */
export const acceptedChangeSchema = z
  .strictObject({
    revision: z.int(),
    changeId: z.string(),
    operator: z.string(),
    at: z.number(),
    summary: z.string(),
  })
  .readonly();

const changeAnswer = z
  .strictObject({
    changeId: z.string(),
    fingerprint: z.string(),
    revision: z.int(),
    failure: failureSchema.nullable().transform(nullToUndefined),
    winner: acceptedChangeSchema.nullable().transform(nullToUndefined),
    differences: z.array(z.string()).readonly(),
    at: z.number(),
  })
  .readonly();

const claim = z
  .strictObject({
    account: z.string(),
    key: z.string(),
    fingerprint: z.string(),
    requestId: z.string(),
    state: z.enum(['running', 'ran', 'unknown', 'notRun']),
    at: z.number(),
  })
  .readonly();

const override = z
  .strictObject({
    host: z.string(),
    labels: z.record(z.string(), z.string().nullable()).readonly(),
    isDraining: z.boolean(),
  })
  .readonly();

/** A placed group, in snapshots and in answers. */
export const groupSchema = groupPlacement
  .unwrap()
  .extend({ fencingNumber: z.int().min(1) })
  .readonly();

const snapshotSchema = z.strictObject({
  format: z.literal(1),
  index: z.int().min(0),
  groupsIndex: z.int().min(0),
  revision: z.int().min(0),
  configuration: configurationSchema,
  overrides: z.array(override),
  groups: z.array(groupSchema),
  fencingNumber: z.int().min(0),
  claims: z.array(claim),
  answers: z.array(changeAnswer),
  history: z.array(acceptedChangeSchema).readonly(),
  /** Absent from snapshots of versions without routing. */
  routing: routingStateSchema.exactOptional(),
});

/** Encodes the whole state as JSON text. */
export function encodeSnapshot(state: ControlState): string {
  return JSON.stringify({
    format: 1,
    ...state,
    overrides: [...state.overrides].map(([host, value]) => ({ host, ...value })),
    groups: [...state.groups.values()],
    claims: state.claims.list(),
    answers: [...state.answers.values()].map((answer) => ({
      ...answer,
      failure: answer.failure ?? null,
      winner: answer.winner ?? null,
    })),
    routing: encodeRoutingState(state.routing),
  });
}

/**
 * Decodes a snapshot.
 * Throws `damagedLog` if the text is invalid: a control host that continued with a partial state would answer resent
 * changes and claims differently from the others.
 */
export function decodeSnapshot(text: string): ControlState {
  const parsed = snapshotSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    throw new FailureError(
      createFailure('damagedLog', `snapshot: ${z.prettifyError(parsed.error)}`),
    );
  }
  const { overrides, groups, claims, answers, ...rest } = parsed.data;
  return {
    index: rest.index,
    groupsIndex: rest.groupsIndex,
    revision: rest.revision,
    configuration: rest.configuration,
    fencingNumber: rest.fencingNumber,
    history: rest.history,
    overrides: new Map(overrides.map(({ host, ...value }) => [host, value])),
    groups: new Map(groups.map((value) => [value.name, value])),
    claims: ClaimRegister.fromClaims(claims),
    answers: new Map(answers.map((answer) => [answer.changeId, answer])),
    routing: decodeRoutingState(rest.routing),
  };
}

function nullToUndefined<Value>(value: Value | null): Value | undefined {
  return value ?? undefined;
}
