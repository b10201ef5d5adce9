import { z } from 'zod';

import { nameSchema } from './names.js';

/** Started upstreams: which start of which instance speaks, and what it says. */

const identityFields = {
  id: nameSchema,
  /** Wall time of the start, by the clock of the instance's own host; absent where instances do not name their starts. */
  startedAt: z.int().exactOptional(),
};

/** One start of an instance. Another start under the same id knows nothing of what the one before was told. */
export const instanceIdentitySchema = z.strictObject(identityFields).readonly();

/** An identity in logs and snapshots; older ones hold the id alone. */
export const storedIdentitySchema = z.union([
  nameSchema.transform((id): InstanceIdentity => ({ id })),
  instanceIdentitySchema,
]);

/** A started upstream that announced itself. */
export const instanceSchema = z
  .strictObject({
    ...identityFields,
    service: nameSchema,
    /** `ip:port`. */
    address: nameSchema,
    failureDomain: z.string(),
    /** A draining instance gets no new requests. */
    isDraining: z.boolean(),
  })
  .readonly();

/** What an instance says of itself. */
export const announcementSchema = z.discriminatedUnion('type', [
  z
    .strictObject({
      type: z.literal('present'),
      instance: instanceSchema,
      /** Grows with each announcement of one start, so that a late one is known. */
      sequence: z.int(),
    })
    .readonly(),
  z.strictObject({ type: z.literal('leaving'), ...identityFields }).readonly(),
]);

/**
 * Why an instance is gone. `left`: it said so. `replaced`: a later start under its id spoke, or another instance took its
 * address. `silent`: it was not heard of any more.
 */
export const departureReasons = ['left', 'replaced', 'silent'] as const;

/** An instance that is gone, as it is remembered. */
export const departedInstanceSchema = z
  .strictObject({ ...identityFields, reason: z.enum(departureReasons) })
  .readonly();

export type InstanceIdentity = z.infer<typeof instanceIdentitySchema>;
export type Instance = z.infer<typeof instanceSchema>;
export type Announcement = z.infer<typeof announcementSchema>;
export type DepartureReason = (typeof departureReasons)[number];
export type DepartedInstance = z.infer<typeof departedInstanceSchema>;

/** The identity alone, without what else is known of the instance. */
export function identityOf({ id, startedAt }: InstanceIdentity): InstanceIdentity {
  return startedAt === undefined ? { id } : { id, startedAt };
}

/** The identity as text, for keys of maps and for logs. */
export function formatIdentity({ id, startedAt }: InstanceIdentity): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`;
}

/** Whether both are the very same start. */
export function isSameStart(one: InstanceIdentity, other: InstanceIdentity): boolean {
  return one.id === other.id && one.startedAt === other.startedAt;
}

/**
 * Whether both may be the same start: where one of them does not name it, as in what was stored by an older version, the id alone
 * decides.
 */
export function isSameInstance(one: InstanceIdentity, other: InstanceIdentity): boolean {
  const isStartKnown = one.startedAt !== undefined && other.startedAt !== undefined;
  return one.id === other.id && (!isStartKnown || one.startedAt === other.startedAt);
}

/** A set of identities, asked by `isSameInstance`. */
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
