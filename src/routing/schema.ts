import { z } from 'zod';

import { storedIdentitySchema } from './instances.js';
import { nameSchema as name } from './names.js';

/**
 * Schemas of routing: which requests go to which services, and which groups the engines form.
 * The types are inferred from the schemas, because all of these values are sent through the log and the watches as JSON.
 */

/** Milliseconds. */
const duration = z.number().min(0);

const routeTarget = z.strictObject({ service: name, weight: z.number().min(0) }).readonly();

export const routeSchema = z
  .strictObject({
    name,
    /** Value of the Host header that the route matches. */
    host: name,
    /** Begins and ends with a slash; among the routes of a host, the longest matching prefix wins. */
    pathPrefix: z.string().min(1),
    kind: z.enum(['idempotent', 'nonIdempotent', 'streaming']),
    /** Maximum time, in milliseconds, until the caller gets its final answer. */
    timeout: z.number().gt(0),
    /** Latency objective, in milliseconds, for the answer or the first event of a stream; absent for none. */
    objective: duration.exactOptional(),
    /** Longest pause between events of a stream, in milliseconds, that meets the objective; absent for none. */
    longestPause: duration.exactOptional(),
    /** 0 is the most urgent. */
    priority: z.number().min(0),
    targets: z.array(routeTarget).min(1).readonly(),
    /** Maximum number of upstreams to which one request may be sent, including the first. */
    attempts: z.int().min(1),
    /** Whether requests are served without a key. */
    isPublic: z.boolean(),
    /** Whether an interrupted stream may be resumed at another upstream. */
    isResumable: z.boolean(),
  })
  .readonly();

const engineModel = z
  .strictObject({
    name,
    /** Number of engines in one group. */
    groupSize: z.int().min(1),
    /** Relative share of the work for this model, used until demand has been measured. */
    share: z.number().min(0),
    /** Factor on all durations of a group that serves this model. */
    pace: z.number().gt(0),
    /** Time, in milliseconds, to load the weights from the store. */
    loadDuration: duration,
    /** Time, in milliseconds, to join a group when the weights are staged on the host. */
    stagedJoinDuration: duration,
  })
  .readonly();

const engineProfile = z
  .strictObject({
    /** Number of requests that a group processes concurrently. */
    slots: z.int().min(1),
    /** Time, in milliseconds, from the order to open until the group serves. */
    openDuration: duration,
    /** Number of loads from the weight store that may begin per second. */
    loadsPerSecond: z.number().gt(0),
    /** Number of concurrent loads that run at full speed. */
    concurrentLoads: z.int().min(1),
    /** Number of models whose weights a host keeps staged. */
    stagedModels: z.int().min(1),
    models: z.array(engineModel).min(1).readonly(),
  })
  .readonly();

/** How long an instance is cold after its start, and the rate that all gateways together may send it meanwhile. */
const coldProfile = z
  .strictObject({
    /** Milliseconds. */
    duration: z.number().gt(0),
    requestsPerSecond: z.number().gt(0),
  })
  .readonly();

const routedService = z
  .strictObject({
    name,
    /** Maximum number of connections that one instance accepts from all callers together. */
    maximumConnections: z.int().min(1),
    /** Present if an instance is cold for a while after its start. */
    cold: coldProfile.exactOptional(),
    /** Present if the instances are engines that form groups. */
    engine: engineProfile.exactOptional(),
  })
  .readonly();

const routedAccount = z
  .strictObject({
    name,
    keys: z.array(z.string().min(1)).readonly(),
    /** Overrides the priority of the route; absent if the account has none. */
    priority: z.number().min(0).exactOptional(),
  })
  .readonly();

/** Limits on the size and the duration of caller input. */
const callerBounds = z
  .strictObject({
    maximumHeaderBytes: z.int().min(1),
    maximumBodyBytes: z.int().min(1),
    /** Maximum time, in milliseconds, to receive the head of a request. */
    headerTimeout: duration,
    /** Maximum time, in milliseconds, that a connection may be idle. */
    idleTimeout: duration,
  })
  .readonly();

/** Latency between two failure domains, the same in both directions. */
const domainDelay = z
  .strictObject({
    between: z.tuple([z.string(), z.string()]).readonly(),
    /** One way, in milliseconds. */
    delay: duration,
  })
  .readonly();

/** A complete routing document. The operator chooses its version; the highest version is in effect. */
export const routingDocumentSchema = z
  .strictObject({
    version: z.int().min(0),
    routes: z.array(routeSchema).readonly(),
    services: z.array(routedService).readonly(),
    /** Absent if callers need no key. */
    accounts: z.array(routedAccount).readonly().exactOptional(),
    callers: callerBounds,
    /** Absent if the operator declares none. */
    domainDelays: z.array(domainDelay).readonly().exactOptional(),
    /** The operator's source text, returned unchanged when the document is read. */
    source: z.string(),
  })
  .readonly();

const engineMember = z
  .strictObject({
    host: name,
    /** The instance at the time of placement; a restarted engine is a different instance. */
    instance: storedIdentitySchema,
    /** `ip:port` of the engine. */
    address: name,
    /** Absent from groups that an earlier version placed. */
    failureDomain: z.string().exactOptional(),
  })
  .readonly();

/** A failure domain whose upstreams should get no requests because an operator evacuates it. */
export const evacuationSchema = z
  .strictObject({
    failureDomain: name,
    /** Wall time, in milliseconds, at which the leader took the order. */
    startedAt: z.number(),
  })
  .readonly();

/**
 * Phase in the life cycle of a group of engines.
 * `joining`: the members are ordered to join; the head was never ordered to open. `opening`: the head is ordered to open and may open at
 * any moment. `open`: the group serves. `draining`: no new requests are sent; running ones continue. `closing`: the head is ordered to
 * close.
 */
export const enginePhases = ['joining', 'opening', 'open', 'draining', 'closing'] as const;

/** A placed group of engines. */
export const engineGroupSchema = z
  .strictObject({
    name,
    /** Increases with every placed group; engines refuse orders with a lower number. */
    fencingNumber: z.int().min(1),
    service: name,
    model: name,
    /** The first member is the head, which receives the requests. */
    members: z.array(engineMember).min(1).readonly(),
    phase: z.enum(enginePhases),
  })
  .readonly();

const membership = z
  .strictObject({
    group: name,
    fencingNumber: z.int(),
    /** As reported by the engine. */
    state: z.enum(['joining', 'ready', 'open', 'closing', 'broken']),
  })
  .readonly();

/** The state that an engine reports when its sidecar queries it. */
export const engineReadingSchema = z
  .strictObject({
    instance: storedIdentitySchema,
    /** Domain within which the links between engines are fast. */
    fabricDomain: z.string(),
    /** Models whose weights are staged on the host. */
    staged: z.array(name).readonly(),
    membership: membership.exactOptional(),
    /** Whether the engine is executing an order. */
    isBusy: z.boolean(),
    running: z.int().min(0),
    waiting: z.int().min(0),
    /** Greater than 1 if the engine is slower than expected. */
    slowdown: z.number(),
  })
  .readonly();

/**
 * Why a sidecar has no reading of its engine. `notAsked`: the sidecar has just started and has no answer yet. `notIdentified`: the engine
 * answers, but its instance could not be determined. `unanswered`: the last query timed out or its connection broke. `silent`: queries
 * have been unanswered for a while. `unreadable`: answers could not be parsed for a while. `refused`: nothing listens at the engine's
 * address; only this proves that the engine has ended.
 */
const engineAbsences = [
  'notAsked',
  'notIdentified',
  'unanswered',
  'silent',
  'unreadable',
  'refused',
] as const;

/** What a sidecar reports to the leader about its engine. */
export const engineFactsSchema = z
  .strictObject({
    failureDomain: z.string(),
    /** `ip:port` of the engine. */
    address: name,
    service: name,
    reading: engineReadingSchema.exactOptional(),
    /** Why there is no reading; absent if there is one. */
    absence: z.enum(engineAbsences).exactOptional(),
    /** Model of the last group in which this engine was ready; absent if there was none since it started. */
    lastModel: name.exactOptional(),
  })
  .readonly();

export type Route = z.infer<typeof routeSchema>;
export type EngineModel = z.infer<typeof engineModel>;
export type EngineProfile = z.infer<typeof engineProfile>;
export type RoutedService = z.infer<typeof routedService>;
export type RoutedAccount = z.infer<typeof routedAccount>;
export type ColdProfile = z.infer<typeof coldProfile>;
export type DomainDelay = z.infer<typeof domainDelay>;
export type Evacuation = z.infer<typeof evacuationSchema>;
export type CallerBounds = z.infer<typeof callerBounds>;
export type RoutingDocument = z.infer<typeof routingDocumentSchema>;
export type EngineMember = z.infer<typeof engineMember>;
export type EnginePhase = (typeof enginePhases)[number];
export type EngineGroup = z.infer<typeof engineGroupSchema>;
export type EngineMembership = z.infer<typeof membership>;
export type EngineReading = z.infer<typeof engineReadingSchema>;
export type EngineAbsence = (typeof engineAbsences)[number];
export type EngineFacts = z.infer<typeof engineFactsSchema>;
