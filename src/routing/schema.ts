import { z } from 'zod';

import { storedIdentitySchema } from './instances.js';
import { nameSchema as name } from './names.js';

/**
 * Routing: which requests go to which services, and the groups that engines form.
 * The types follow from the schemas, because all of it crosses the log and the watches as JSON text.
 */

/** Milliseconds. */
const duration = z.number().min(0);

const routeTarget = z.strictObject({ service: name, weight: z.number().min(0) }).readonly();

const route = z
  .strictObject({
    name,
    /** Value of the Host header that it takes. */
    host: name,
    /** Begins and ends with a slash; of all routes of a host, the longest that begins the path is taken. */
    pathPrefix: z.string().min(1),
    kind: z.enum(['idempotent', 'nonIdempotent', 'streaming']),
    /** Longest time, in milliseconds, that a caller is kept waiting for its final answer. */
    timeout: z.number().gt(0),
    /** Time, in milliseconds, within which an answer (of a stream: its first event) is worth most; absent for none. */
    objective: duration.exactOptional(),
    /** Longest pause between events of a stream, in milliseconds, that counts as on time; absent for none. */
    longestPause: duration.exactOptional(),
    /** 0 is the most urgent. */
    priority: z.number().min(0),
    targets: z.array(routeTarget).min(1).readonly(),
    /** Upstreams to which one request may be sent, the first included. */
    attempts: z.int().min(1),
    /** Whether it is served without a key. */
    isPublic: z.boolean(),
    /** Whether a stream that broke off may go on at another upstream. */
    isResumable: z.boolean(),
  })
  .readonly();

const engineModel = z
  .strictObject({
    name,
    /** Engines in one group. */
    groupSize: z.int().min(1),
    /** Part of the work that goes to this model when nothing has been measured yet. */
    share: z.number().min(0),
    /** Factor on all times of a group that serves it. */
    pace: z.number().gt(0),
    /** Time, in milliseconds, to load the weights from the store. */
    loadDuration: duration,
    /** Time, in milliseconds, to join a group when the weights are staged on the host. */
    stagedJoinDuration: duration,
  })
  .readonly();

const engineProfile = z
  .strictObject({
    /** Requests that a group works on at once. */
    slots: z.int().min(1),
    /** Time, in milliseconds, from the order to open until a group serves. */
    openDuration: duration,
    /** Loads from the weight store that may begin in a second. */
    loadsPerSecond: z.number().gt(0),
    /** Loads that run at full speed beside each other. */
    concurrentLoads: z.int().min(1),
    /** Models whose weights a host keeps staged. */
    stagedModels: z.int().min(1),
    models: z.array(engineModel).min(1).readonly(),
  })
  .readonly();

const routedService = z
  .strictObject({
    name,
    /** Connections that one instance takes from all callers together. */
    maximumConnections: z.int().min(1),
    /** Present where the instances are engines that form groups. */
    engine: engineProfile.exactOptional(),
  })
  .readonly();

const routedAccount = z
  .strictObject({
    name,
    keys: z.array(z.string().min(1)).readonly(),
    /** Goes before the priority of a route; absent where the account has none. */
    priority: z.number().min(0).exactOptional(),
  })
  .readonly();

/** Bounds on what callers may send and how long they may take. */
const callerBounds = z
  .strictObject({
    maximumHeaderBytes: z.int().min(1),
    maximumBodyBytes: z.int().min(1),
    /** Milliseconds for the head of a request. */
    headerTimeout: duration,
    /** Milliseconds that a connection may stay idle. */
    idleTimeout: duration,
  })
  .readonly();

/** A whole routing document; the operator chooses its version, and the highest is in force. */
export const routingDocumentSchema = z
  .strictObject({
    version: z.int().min(0),
    routes: z.array(route).readonly(),
    services: z.array(routedService).readonly(),
    /** Absent where callers need no key. */
    accounts: z.array(routedAccount).readonly().exactOptional(),
    callers: callerBounds,
    /** The operator's text, given back unchanged to whoever reads the document. */
    source: z.string(),
  })
  .readonly();

const engineMember = z
  .strictObject({
    host: name,
    /** The instance that was there when the group was placed; an engine that started again is another one. */
    instance: storedIdentitySchema,
    /** `ip:port` of the engine. */
    address: name,
  })
  .readonly();

/**
 * How far a group of engines has come.
 * `joining`: its members are ordered to join; it was never ordered to open. `opening`: the head may open at any moment.
 * `open`: it serves. `draining`: no new requests, those under way go on. `closing`: the head is ordered to close.
 */
export const enginePhases = ['joining', 'opening', 'open', 'draining', 'closing'] as const;

/** A placed group of engines. */
export const engineGroupSchema = z
  .strictObject({
    name,
    /** Grows with every group placed; engines refuse orders with a lower one. */
    fencingNumber: z.int().min(1),
    service: name,
    model: name,
    /** The first is the head, which takes the requests. */
    members: z.array(engineMember).min(1).readonly(),
    phase: z.enum(enginePhases),
  })
  .readonly();

const membership = z
  .strictObject({
    group: name,
    fencingNumber: z.int(),
    /** As the engine says it. */
    state: z.enum(['joining', 'ready', 'open', 'closing', 'broken']),
  })
  .readonly();

/** What an engine says of itself when it is asked by its own sidecar. */
export const engineReadingSchema = z
  .strictObject({
    instance: storedIdentitySchema,
    /** Where the links between engines are fast. */
    fabricDomain: z.string(),
    /** Models whose weights are on the host. */
    staged: z.array(name).readonly(),
    membership: membership.exactOptional(),
    /** Whether an order is under way. */
    isBusy: z.boolean(),
    running: z.int().min(0),
    waiting: z.int().min(0),
    /** Over 1 where the engine is slower than it should be. */
    slowdown: z.number(),
  })
  .readonly();

/**
 * Why a sidecar has no reading of its engine. `notAsked`: it started a moment ago, and no answer has come yet. `notIdentified`: the engine
 * answers, and which instance it is could not be found out. `unanswered`: the last question got no answer in time, or its connection broke.
 * `silent`: that has gone on for a while. `unreadable`: what answers has said nothing that can be read for a while. `refused`: nothing
 * listens at the engine's address; only this shows that the engine has ended.
 */
const engineAbsences = [
  'notAsked',
  'notIdentified',
  'unanswered',
  'silent',
  'unreadable',
  'refused',
] as const;

/** What a sidecar tells the leader of its engine. */
export const engineFactsSchema = z
  .strictObject({
    failureDomain: z.string(),
    /** `ip:port` of the engine. */
    address: name,
    service: name,
    reading: engineReadingSchema.exactOptional(),
    /** Why there is no reading; absent where there is one. */
    absence: z.enum(engineAbsences).exactOptional(),
    /** Model of the last group that this engine was ready in; absent for none since it started. */
    lastModel: name.exactOptional(),
  })
  .readonly();

export type Route = z.infer<typeof route>;
export type EngineModel = z.infer<typeof engineModel>;
export type EngineProfile = z.infer<typeof engineProfile>;
export type RoutedService = z.infer<typeof routedService>;
export type RoutedAccount = z.infer<typeof routedAccount>;
export type CallerBounds = z.infer<typeof callerBounds>;
export type RoutingDocument = z.infer<typeof routingDocumentSchema>;
export type EngineMember = z.infer<typeof engineMember>;
export type EnginePhase = (typeof enginePhases)[number];
export type EngineGroup = z.infer<typeof engineGroupSchema>;
export type EngineMembership = z.infer<typeof membership>;
export type EngineReading = z.infer<typeof engineReadingSchema>;
export type EngineAbsence = (typeof engineAbsences)[number];
export type EngineFacts = z.infer<typeof engineFactsSchema>;
