import { z } from 'zod';

import { configurationSchema } from '../../configuration/index.js';
import { acceptedChangeSchema } from './snapshot.js';

/**
 * JSON answers of ControlService.Get, one schema for each kind, written by control and read by the command line.
 * Missing values are null in the JSON.
 */

const revision = z.int().min(0);

const artifact = z
  .strictObject({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()).readonly(),
  })
  .readonly();

const upstream = z.discriminatedUnion('type', [
  z
    .strictObject({
      type: z.literal('engine'),
      loaded: z.array(artifact).readonly(),
      checksFencingNumber: z.boolean(),
    })
    .readonly(),
  z.strictObject({ type: z.literal('service'), service: z.string() }).readonly(),
]);

const offer = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('model'), artifact }).readonly(),
  z.strictObject({ type: z.literal('service'), service: z.string() }).readonly(),
]);

/** Kind `configuration`: the current configuration and the latest accepted changes, oldest first. */
export const configurationViewSchema = z
  .strictObject({
    revision,
    configuration: configurationSchema,
    history: z.array(acceptedChangeSchema).readonly(),
  })
  .readonly();

const hostView = z
  .strictObject({
    host: z.string(),
    address: z.string(),
    incarnation: z.string(),
    region: z.string(),
    failureDomain: z.string(),
    fabricDomain: z.string(),
    accelerators: z.int(),
    /** Announced labels with the operators' overrides applied. */
    labels: z.record(z.string(), z.string()).readonly(),
    upstream: upstream.nullable(),
    isHealthy: z.boolean(),
    /** Set by an operator or by the host itself. */
    isDraining: z.boolean(),
    /** Whether its sidecar currently reports. */
    isPresent: z.boolean(),
    /** Group that the host belongs to. */
    group: z.string().nullable(),
    /** Time since the last report of its sidecar. */
    lastReportMilliseconds: z.number(),
  })
  .readonly();

/** Kind `hosts`: every host that has announced itself. */
export const hostsViewSchema = z
  .strictObject({ revision, hosts: z.array(hostView).readonly() })
  .readonly();

const groupView = z
  .strictObject({
    name: z.string(),
    declaration: z.string(),
    fencingNumber: z.int(),
    offer,
    members: z.array(z.string()).readonly(),
    isServing: z.boolean(),
    isDraining: z.boolean(),
    /** Members whose lease the lead does not hold. */
    missing: z.array(z.string()).readonly(),
  })
  .readonly();

/** Kind `groups`: all placed groups, and the healthy hosts without a group. */
export const groupsViewSchema = z
  .strictObject({
    revision,
    groups: z.array(groupView).readonly(),
    strandedHosts: z.array(z.string()).readonly(),
  })
  .readonly();

const watcherView = z
  .strictObject({
    watcher: z.string(),
    kind: z.string(),
    /** Highest configuration revision that it has applied. */
    revision,
    /** Control host that it watches, if known. */
    control: z.string().nullable(),
    lastSeenMilliseconds: z.number(),
    /** `ip:port` where it serves other processes of the system, for `report burn`; null if it serves none. */
    address: z.string().nullable(),
  })
  .readonly();

/** Kind `watchers`: the configuration revision that each gateway and sidecar uses. */
export const watchersViewSchema = z
  .strictObject({ revision, watchers: z.array(watcherView).readonly() })
  .readonly();

const evacuationView = z
  .strictObject({
    failureDomain: z.string(),
    /** Wall time, in milliseconds. */
    startedAt: z.number(),
    /** Groups with a member in the domain. */
    groups: z.array(z.string()).readonly(),
    /** Requests that engines in the domain report as running or waiting. */
    requests: z.int(),
    /** What is still expected before the domain is empty; empty once it is. */
    waitsFor: z.array(z.enum(['gateways', 'groups', 'requests'])).readonly(),
  })
  .readonly();

/** Kind `evacuations`: the evacuations in force. */
export const evacuationsViewSchema = z
  .strictObject({ evacuations: z.array(evacuationView).readonly() })
  .readonly();

const quarantineView = z
  .strictObject({
    /** Key of the subject, for its release. */
    subject: z.string(),
    type: z.enum(['request', 'segment']),
    /** Wall time of the first crash, in milliseconds; null if it was recorded by an earlier version. */
    since: z.number().nullable(),
    /** Wall time of the last crash, in milliseconds. */
    lastCrash: z.number(),
    /** Identities of instances that crashed, oldest first. */
    upstreams: z.array(z.string()).readonly(),
    /** Trials granted so far, except those that no request has used. */
    trials: z.int(),
  })
  .readonly();

/** Kind `quarantines`: what gateways do not send because upstreams crashed. */
export const quarantinesViewSchema = z
  .strictObject({ quarantines: z.array(quarantineView).readonly() })
  .readonly();

/** Kind `control`: the control host that answers. */
export const controlViewSchema = z
  .strictObject({
    name: z.string(),
    role: z.enum(['leader', 'follower', 'leaderless']),
    term: z.int(),
    leader: z.string().nullable(),
    index: z.int(),
    revision,
    /** Time since this host was last known to be up to date with a leader that had a quorum. */
    stalenessMilliseconds: z.number(),
    voters: z
      .array(z.strictObject({ name: z.string(), address: z.string() }).readonly())
      .readonly(),
  })
  .readonly();

/** Schemas by the kind in a GetRequest. */
export const viewSchemas = {
  configuration: configurationViewSchema,
  hosts: hostsViewSchema,
  groups: groupsViewSchema,
  watchers: watchersViewSchema,
  evacuations: evacuationsViewSchema,
  quarantines: quarantinesViewSchema,
  control: controlViewSchema,
} as const;

export type ViewKind = keyof typeof viewSchemas;
export type ConfigurationView = z.infer<typeof configurationViewSchema>;
export type HostsView = z.infer<typeof hostsViewSchema>;
export type HostView = HostsView['hosts'][number];
export type GroupsView = z.infer<typeof groupsViewSchema>;
export type GroupView = GroupsView['groups'][number];
export type WatchersView = z.infer<typeof watchersViewSchema>;
export type WatcherView = WatchersView['watchers'][number];
export type EvacuationsView = z.infer<typeof evacuationsViewSchema>;
export type EvacuationView = EvacuationsView['evacuations'][number];
export type QuarantinesView = z.infer<typeof quarantinesViewSchema>;
export type ControlView = z.infer<typeof controlViewSchema>;
