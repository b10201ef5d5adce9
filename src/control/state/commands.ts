import { z } from 'zod';

import { configurationSchema } from '../../configuration/index.js';
import {
  engineGroupSchema,
  enginePhases,
  instanceSchema,
  storedIdentitySchema,
  routingDocumentSchema,
  unpackDocument,
  type PackedDocument,
  type RoutingDocument,
} from '../../routing/index.js';

/**
 * Commands of the replicated log.
 * Every control host applies the same commands in the same order. The effect of a command depends only on the replicated
 * state and on the command itself, including its wall time `at` (milliseconds, set by the leader).
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

/** A group to place; its fencing number is assigned when the command is applied. */
export const groupPlacement = z
  .strictObject({
    name: z.string(),
    declaration: z.string(),
    members: z.array(member).min(1).readonly(),
    offer,
    isDraining: z.boolean(),
  })
  .readonly();

/** Fields of every change by an operator. */
const change = {
  changeId: z.string().min(1).max(200),
  /** Revision that the change is based on; if it is not the current one, the change is refused as a conflict. */
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
    /** A null removes the label, even one from the host's own settings. */
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
    /** Groups to create or replace; each gets a new fencing number unless only `isDraining` changes. */
    place: z.array(groupPlacement).readonly(),
    /** Names of groups to dissolve. */
    dissolve: z.array(z.string()).readonly(),
    /** Log index of the state that the decision is based on; refused if the groups have changed since. */
    basedOn: z.int().min(0),
  })
  .readonly();

const claimKey = z
  .strictObject({
    type: z.literal('claimKey'),
    at: z.number(),
    account: z.string(),
    key: z.string().min(1).max(512),
    /** Digest of method, path and body; the same key with a different digest is a conflict. */
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

const packedDocument = z
  .strictObject({ body: z.string(), source: z.string() })
  .transform(unpackOrReject)
  .readonly();

/** A stored routing document: packed, or as written by earlier versions. */
export const storedDocumentSchema = z.union([packedDocument, routingDocumentSchema]);

/** The operator chooses the version; a version that is not higher than the current one has no effect. */
const putRouting = z
  .strictObject({ type: z.literal('putRouting'), at: z.number(), document: storedDocumentSchema })
  .readonly();

const recordInstances = z
  .strictObject({
    type: z.literal('recordInstances'),
    at: z.number(),
    /** New and changed instances. */
    present: z.array(instanceSchema).readonly(),
    /** Instances that left for good; a late announcement does not add them again. */
    retired: z.array(storedIdentitySchema).readonly(),
    /** Instances that stopped reporting; they are added again when they announce themselves. */
    silent: z.array(storedIdentitySchema).readonly(),
    /** Those of `present` that had been replaced and have since proved that they are the ones running. */
    proved: z.array(storedIdentitySchema).readonly().exactOptional(),
  })
  .readonly();

/** An engine group to place; its fencing number is assigned when the command is applied. */
const engineGroupPlacement = engineGroupSchema.unwrap().omit({ fencingNumber: true, phase: true });

const planEngineGroups = z
  .strictObject({
    type: z.literal('planEngineGroups'),
    at: z.number(),
    /** Log index of the last change of engine groups that the decision is based on; refused if they have changed since. */
    basedOn: z.int().min(0),
    place: z.array(engineGroupPlacement.readonly()).readonly(),
    advance: z
      .array(z.strictObject({ name: z.string(), phase: z.enum(enginePhases) }).readonly())
      .readonly(),
    remove: z.array(z.string()).readonly(),
  })
  .readonly();

const noteCrashes = z
  .strictObject({
    type: z.literal('noteCrashes'),
    at: z.number(),
    crashes: z
      .array(
        z
          .strictObject({
            /** Identity of the instance that crashed. */
            upstream: z.string().min(1),
            /** Keys of the subjects that were in flight on it; see `CrashSubject`. */
            requests: z.array(z.string().min(1)).readonly(),
          })
          .readonly(),
      )
      .readonly(),
    /** Keys of the subjects that an upstream answered completely. */
    answered: z.array(z.string().min(1)).readonly(),
    /** Requests with quarantined subjects that gateways want to send; absent if there are none. */
    trials: z
      .array(
        z
          .strictObject({
            token: z.string().min(1),
            subjects: z.array(z.string().min(1)).readonly(),
            /** Other subjects of the request; absent if there are none. */
            others: z.array(z.string().min(1)).readonly().exactOptional(),
          })
          .readonly(),
      )
      .readonly()
      .exactOptional(),
    /** Tokens of granted trials that no request has used; absent if there are none. */
    returned: z.array(z.string().min(1)).readonly().exactOptional(),
  })
  .readonly();

/** An operator ends the quarantine of a subject. */
const releaseSubject = z
  .strictObject({
    type: z.literal('releaseSubject'),
    at: z.number(),
    /** Key of the subject; see `CrashSubject`. */
    subject: z.string().min(1),
    operator: z.string().max(200),
  })
  .readonly();

/** What an operator orders for a failure domain: that its upstreams get no more requests, or that they get requests again. */
export const evacuationActions = ['start', 'end'] as const;

const setEvacuation = z
  .strictObject({
    type: z.literal('setEvacuation'),
    at: z.number(),
    failureDomain: z.string().min(1),
    action: z.enum(evacuationActions),
    /**
     * Number of opposite orders for the domain that the receiving control host had applied when this one arrived; set by that host.
     * It identifies an order that was delayed inside control until after an opposite one.
     */
    stamp: z.int().min(0),
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
  putRouting,
  recordInstances,
  planEngineGroups,
  noteCrashes,
  releaseSubject,
  setEvacuation,
]);

export type Command = z.infer<typeof commandSchema>;
export type EvacuationAction = (typeof evacuationActions)[number];
export type GroupPlacement = z.infer<typeof groupPlacement>;

/** A change made by an operator. */
export type Change = Extract<Command, { readonly changeId: string }>;

function unpackOrReject(
  packed: PackedDocument,
  context: z.core.$RefinementCtx<PackedDocument>,
): RoutingDocument {
  try {
    return unpackDocument(packed);
  } catch (error) {
    context.addIssue(`not a packed routing document: ${String(error)}`);
    return z.NEVER;
  }
}
