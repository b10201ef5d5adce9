import { z } from 'zod';

import { nameSchema } from './names.js';

/** Identities and announcements of upstream instances. */

const identityFields = {
  id: nameSchema,
  /** Wall time of the start, from the clock of the instance's own host; absent if instances do not report their start time. */
  startedAt: z.int().exactOptional(),
};

/** One start of an instance. After a restart under the same id, the instance has none of the state of the previous start. */
export const instanceIdentitySchema = z.strictObject(identityFields).readonly();

/** An identity in logs and snapshots; older ones contain only the id. */
export const storedIdentitySchema = z.union([
  nameSchema.transform((id): InstanceIdentity => ({ id })),
  instanceIdentitySchema,
]);

/** An upstream instance that announced itself. */
export const instanceSchema = z
  .strictObject({
    ...identityFields,
    service: nameSchema,
    /** `ip:port`. */
    address: nameSchema,
    failureDomain: z.string(),
    /** A draining instance receives no new requests. */
    isDraining: z.boolean(),
  })
  .readonly();

/** A message from an instance about itself. */
export const announcementSchema = z.discriminatedUnion('type', [
  z
    .strictObject({
      type: z.literal('present'),
      instance: instanceSchema,
      /** Increases with each announcement of one start, so that a delayed one can be recognized. */
      sequence: z.int(),
      /** How much longer the instance stays cold, in milliseconds; absent if it does not say. Never recorded in the log. */
      coldFor: z.number().min(0).exactOptional(),
    })
    .readonly(),
  z.strictObject({ type: z.literal('leaving'), ...identityFields }).readonly(),
]);

/**
 * Why an instance is gone. `left`: it announced that it is leaving. `replaced`: a later start under its id announced itself, or another
 * instance took its address. `silent`: its announcements stopped.
 */
export const departureReasons = ['left', 'replaced', 'silent'] as const;

/** The record of an instance that is gone. */
export const departedInstanceSchema = z
  .strictObject({ ...identityFields, reason: z.enum(departureReasons) })
  .readonly();

export type InstanceIdentity = z.infer<typeof instanceIdentitySchema>;
export type Instance = z.infer<typeof instanceSchema>;
export type Announcement = z.infer<typeof announcementSchema>;
export type DepartureReason = (typeof departureReasons)[number];
export type DepartedInstance = z.infer<typeof departedInstanceSchema>;

/** The identity without the other properties of the instance. */
export function identityOf({ id, startedAt }: InstanceIdentity): InstanceIdentity {
  return startedAt === undefined ? { id } : { id, startedAt };
}

/** Formats an identity for map keys and logs. */
export function formatIdentity({ id, startedAt }: InstanceIdentity): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`;
}

/** Whether both are exactly the same start. */
export function isSameStart(one: InstanceIdentity, other: InstanceIdentity): boolean {
  return one.id === other.id && one.startedAt === other.startedAt;
}

/**
 * Whether both may be the same start. If one of them has no start time, as in data stored by an older version, only the ids are
 * compared.
 */
export function isSameInstance(one: InstanceIdentity, other: InstanceIdentity): boolean {
  const isStartKnown = one.startedAt !== undefined && other.startedAt !== undefined;
  return one.id === other.id && (!isStartKnown || one.startedAt === other.startedAt);
}

/** A set of identities with membership by `isSameInstance`. */
export class InstanceSet {
  readonly #byId = new Map<string, InstanceIdentity[]>();

  constructor(identities: Iterable<InstanceIdentity> = []) {
    for (const identity of identities) {
      this.add(identity);
    }
  }

  add(identity: InstanceIdentity): void {
    const known = this.#byId.get(identity.id);
    if (known === undefined) {
      this.#byId.set(identity.id, [identity]);
    } else {
      known.push(identity);
    }
  }

  has(identity: InstanceIdentity): boolean {
    return (this.#byId.get(identity.id) ?? []).some((known) => isSameInstance(known, identity));
  }
}
