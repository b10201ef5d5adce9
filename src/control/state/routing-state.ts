import { z } from 'zod';

import {
  crashSuspectSchema,
  quarantineThreshold,
  departedInstanceSchema,
  engineGroupSchema,
  evacuationSchema,
  instanceSchema,
  packDocument,
  type CrashSuspect,
  type DepartedInstance,
  type EngineGroup,
  type Evacuation,
  type Instance,
  type RoutingDocument,
} from '../../routing/index.js';
import { storedDocumentSchema } from './commands.js';

/** The evacuation orders for a failure domain that took effect; kept after its evacuation has ended. */
const evacuationHistorySchema = z
  .strictObject({
    failureDomain: z.string(),
    starts: z.int().min(0),
    ends: z.int().min(0),
    /** Wall time, in milliseconds, of the last of them. */
    changedAt: z.number(),
  })
  .readonly();

export type EvacuationHistory = z.infer<typeof evacuationHistorySchema>;

/** The part of the replicated state that routing uses. */
export interface RoutingState {
  /** Undefined until the first document is applied. */
  readonly document: RoutingDocument | undefined;
  readonly instances: ReadonlyMap<string, Instance>;
  /** Departed instances, newest last. */
  readonly departed: readonly DepartedInstance[];
  readonly engineGroups: ReadonlyMap<string, EngineGroup>;
  /** Log index of the last command that changed engine groups. */
  readonly engineGroupsIndex: number;
  /** Subjects that were in flight when upstreams crashed, by key. */
  readonly suspects: ReadonlyMap<string, CrashSuspect>;
  /** Evacuations in force, by failure domain. */
  readonly evacuations: ReadonlyMap<string, Evacuation>;
  /** By failure domain; domains that were never evacuated are absent. */
  readonly evacuationHistory: ReadonlyMap<string, EvacuationHistory>;
}

/** State before the first command. */
export const initialRoutingState: RoutingState = {
  document: undefined,
  instances: new Map(),
  departed: [],
  engineGroups: new Map(),
  engineGroupsIndex: 0,
  suspects: new Map(),
  evacuations: new Map(),
  evacuationHistory: new Map(),
};

/** Snapshot format of the state, with maps as arrays. */
export const routingStateSchema = z
  .strictObject({
    document: storedDocumentSchema.nullable(),
    instances: z.array(instanceSchema),
    departed: z.array(departedInstanceSchema).readonly().exactOptional(),
    /** Ids of instances that left; only in snapshots of earlier versions, which did not distinguish the starts of an instance. */
    retired: z.array(z.string()).readonly().exactOptional(),
    engineGroups: z.array(engineGroupSchema),
    engineGroupsIndex: z.int().min(0),
    /** Absent from snapshots written by earlier versions. */
    suspects: z.array(crashSuspectSchema).exactOptional(),
    /** Absent from snapshots written by earlier versions. */
    evacuations: z.array(evacuationSchema).exactOptional(),
    /** Absent from snapshots written by earlier versions. */
    evacuationHistory: z.array(evacuationHistorySchema).exactOptional(),
  })
  .readonly();

type StoredRoutingState = z.infer<typeof routingStateSchema>;
/** A snapshot holds the document packed. */
type EncodedRoutingState = z.input<typeof routingStateSchema>;

/** A control host of an earlier version can read the snapshot as long as there has been no evacuation. */
export function encodeRoutingState({
  evacuations,
  evacuationHistory,
  ...state
}: RoutingState): EncodedRoutingState {
  const isUsed = evacuationHistory.size > 0;
  return {
    ...state,
    document: state.document === undefined ? null : packDocument(state.document),
    instances: [...state.instances.values()],
    engineGroups: [...state.engineGroups.values()],
    suspects: [...state.suspects.values()],
    ...(isUsed && {
      evacuations: [...evacuations.values()],
      evacuationHistory: [...evacuationHistory.values()],
    }),
  };
}

export function decodeRoutingState(stored: StoredRoutingState | undefined): RoutingState {
  if (stored === undefined) {
    return initialRoutingState;
  }
  const { departed = [], retired = [], ...rest } = stored;
  const departedBefore = retired.map((id): DepartedInstance => ({ id, reason: 'left' }));
  return {
    ...rest,
    departed: [...departedBefore, ...departed],
    document: stored.document ?? undefined,
    instances: new Map(stored.instances.map((instance) => [instance.id, instance])),
    engineGroups: new Map(stored.engineGroups.map((group) => [group.name, group])),
    suspects: new Map(
      (stored.suspects ?? []).map((suspect) => [suspect.request, restoreQuarantine(suspect)]),
    ),
    evacuations: new Map((stored.evacuations ?? []).map((each) => [each.failureDomain, each])),
    evacuationHistory: new Map(
      (stored.evacuationHistory ?? []).map((each) => [each.failureDomain, each]),
    ),
  };
}

/** Earlier versions recorded neither the first crash nor the quarantine, which held after as many crashes. */
function restoreQuarantine(suspect: CrashSuspect): CrashSuspect {
  const { since, upstreams, changedAt } = suspect;
  const isHeld = since === undefined && upstreams.length >= quarantineThreshold;
  return isHeld ? { quarantinedAt: changedAt, ...suspect } : suspect;
}
