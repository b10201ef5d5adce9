import { z } from 'zod';

import type { Configuration } from '../model/index.js';

/** Schema of a configuration document; `parse.ts` adds line and column to its findings. */

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'expected lower-case letters, digits and hyphens, 63 at most',
  );
const labels = z.record(z.string(), z.string()).readonly();
const selector = z.record(z.string(), z.array(z.string()).min(1).readonly()).readonly();

const accessPolicy = z
  .strictObject({
    accounts: selector,
    services: z.array(name).readonly().default([]),
  })
  .readonly();

const artifact = z
  .strictObject({
    model: z.string().min(1),
    version: z.string().min(1),
    adapters: z.array(z.string().min(1)).readonly().default([]),
  })
  .readonly();

const groupDeclaration = z
  .strictObject({
    name,
    hosts: selector,
    replicaSize: z.int().min(1).max(64),
    replicas: z.int().min(0).optional().transform(keepUndefined),
    carries: artifact,
    reachableBy: accessPolicy,
  })
  .readonly();

const serviceDeclaration = z
  .strictObject({
    name,
    hosts: selector,
    reachableBy: accessPolicy,
    nonIdempotentByDefault: z.boolean().default(false),
    concurrency: z.int().min(1).max(10_000).default(16),
  })
  .readonly();

const accountLimits = z
  .strictObject({
    weight: z.int().min(1).max(1000).default(1),
    concurrentRequests: z.int().min(1).optional().transform(keepUndefined),
    priority: z.int().min(0).max(9).default(5),
  })
  .readonly();

const account = z
  .strictObject({
    name,
    labels: labels.default({}),
    keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hexadecimal digits'),
    service: name.optional().transform(keepUndefined),
    limits: accountLimits.default({ weight: 1, concurrentRequests: undefined, priority: 5 }),
  })
  .readonly();

const policy = z
  .strictObject({
    groupDowntimeWeight: z.number().min(0).default(1),
    strandedAcceleratorWeight: z.number().min(0).default(1),
    allowAcrossFabricDomains: z.boolean().default(false),
    concurrentLoads: z.int().min(1).default(8),
    leaseMilliseconds: z.int().min(200).max(60_000).default(2000),
  })
  .readonly();

const objective = z
  .strictObject({
    target: name,
    availability: z.number().gt(0).lt(1),
    firstToken: z
      .strictObject({ share: z.number().gt(0).lt(1), milliseconds: z.number().gt(0) })
      .readonly()
      .optional()
      .transform(keepUndefined),
  })
  .readonly();

/** Schema of a complete configuration document. */
export const configurationSchema = z
  .strictObject({
    groups: z.array(groupDeclaration).readonly().default([]),
    services: z.array(serviceDeclaration).readonly().default([]),
    accounts: z.array(account).readonly().default([]),
    policy: policy.default({
      groupDowntimeWeight: 1,
      strandedAcceleratorWeight: 1,
      allowAcrossFabricDomains: false,
      concurrentLoads: 8,
      leaseMilliseconds: 2000,
    }),
    objectives: z.array(objective).readonly().default([]),
  })
  .readonly() satisfies z.ZodType<Configuration>;

/** The configuration in force before the first change. */
export const emptyConfiguration: Configuration = configurationSchema.parse({});

/** Keeps the key, with the value undefined, so that the output type has no optional properties. */
function keepUndefined<Value>(value: Value | undefined): Value | undefined {
  return value;
}
