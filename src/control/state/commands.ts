import { z } from 'zod';

import { configurationSchema } from '../../configuration/index.js';

/**
 * Commands of the replicated log.
 * Every control host applies the same commands in the same order, so a command carries all that its effect depends on,
 * the wall time (`at`, milliseconds, stamped by the leader) and fencing numbers included.
 */

const artifact = z
  .strictObject({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()).readonly(),
  })
  .readonly();

const member = z
  .strictObject({ host: z.string(), address: z.string(), incarnation: z.string() })
  .readonly();

const offer = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('model'), artifact }).readonly(),
  z.strictObject({ type: z.literal('service'), service: z.string() }).readonly(),
]);

/** A group as placement wants it; the fencing number is given when the command is applied. */
export const groupPlacement = z
  .strictObject({
    name: z.string(),
    declaration: z.string(),
    members: z.array(member).min(1).readonly(),
    offer,
    isDraining: z.boolean(),
  })
  .readonly();

/** What every change by an operator carries. */
const change = {
  changeId: z.string().min(1).max(200),
  /** Revision the change was made from; a change made from any other than the present one is a conflict. */
  baseRevision: z.int().min(0),
  operator: z.string().max(200),
  at: z.number(),
};

const applyConfiguration = z
  .strictObject({ type: z.literal('applyConfiguration'), ...change, document: configurationSchema })
  .readonly();

const setHostLabels = z
  .strictObject({
    type: z.literal('setHostLabels'),
    ...change,
    host: z.string(),
    /** A null takes the label away, also one from the host's own settings. */
    labels: z.record(z.string(), z.string().nullable()).readonly(),
  })
  .readonly();

const setHostDrain = z
  .strictObject({
    type: z.literal('setHostDrain'),
    ...change,
    host: z.string(),
    isDraining: z.boolean(),
  })
  .readonly();

const placeGroups = z
  .strictObject({
    type: z.literal('placeGroups'),
    at: z.number(),
    /** Groups to create or to replace; each gets a new fencing number unless only `isDraining` changes. */
    place: z.array(groupPlacement).readonly(),
    /** Names of groups to dissolve. */
    dissolve: z.array(z.string()).readonly(),
    /** Log index of the state that the decision was made from; an older decision is ignored. */
    basedOn: z.int().min(0),
  })
  .readonly();

const claimKey = z
  .strictObject({
    type: z.literal('claimKey'),
    at: z.number(),
    account: z.string(),
    key: z.string().min(1).max(512),
    /** Digest of method, path and body: the same key with another one is a conflict. */
    fingerprint: z.string(),
    requestId: z.string(),
  })
  .readonly();

const settleClaim = z
  .strictObject({
    type: z.literal('settleClaim'),
    at: z.number(),
    account: z.string(),
    key: z.string(),
    requestId: z.string(),
    /** `notRun` frees the key; `ran` and `unknown` keep it until it expires. */
    outcome: z.enum(['notRun', 'ran', 'unknown']),
  })
  .readonly();

/** Any command of the replicated log. */
export const commandSchema = z.discriminatedUnion('type', [
  applyConfiguration,
  setHostLabels,
  setHostDrain,
  placeGroups,
  claimKey,
  settleClaim,
]);

export type Command = z.infer<typeof commandSchema>;
export type GroupPlacement = z.infer<typeof groupPlacement>;

/** A change made by an operator. */
export type Change = Extract<Command, { readonly changeId: string }>;
