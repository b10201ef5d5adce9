import { z } from 'zod';

import { listenAddress, reachableAddress } from './address.js';
import {
  controlAddresses,
  createInboundSettingsWithCalls,
  logSettings,
  mebibyte,
  metricsSettings,
  nameSchema,
  shutdownSettings,
} from './common-settings.js';

/** Settings of pistachiospoke-sidecar. */
export const sidecarSettingsSchema = z
  .strictObject({
    /** Host name, unique in the deployment. */
    host: nameSchema,
    region: nameSchema,
    failureDomain: nameSchema,
    fabricDomain: nameSchema,
    accelerators: z.int().min(0).default(0),
    /** Labels of the host; labels set by operators take precedence. */
    labels: z.record(z.string(), z.string()).readonly().default({}),
    /** Address on which other processes of the system connect. */
    listen: reachableAddress,
    /** Address on which the local upstream announces itself. */
    announce: listenAddress,
    control: controlAddresses,
    /** Whether the upstream itself rejects orders with an outdated fencing number. */
    upstreamChecksFencingNumber: z.boolean().default(false),
    /** Number of attempts that the upstream accepts concurrently. */
    concurrency: z.int().min(1).max(10_000).default(16),
    inbound: createInboundSettingsWithCalls({
      memoryBytes: 24 * mebibyte,
      connections: 1024,
      calls: 1024,
    }),
    shutdown: shutdownSettings,
    log: logSettings,
    metrics: metricsSettings,
  })
  .readonly();

export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
