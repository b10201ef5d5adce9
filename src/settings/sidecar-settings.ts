import { z } from 'zod';

import { listenAddress, reachableAddress } from './address.js';
import {
  controlAddresses,
  logSettings,
  metricsSettings,
  placeName,
  shutdownSettings,
} from './common-settings.js';

/** Settings of pistachiospoke-sidecar. */
export const sidecarSettingsSchema = z
  .strictObject({
    /** Name of the host, unique in the deployment. */
    host: placeName,
    region: placeName,
    failureDomain: placeName,
    fabricDomain: placeName,
    accelerators: z.int().min(0).default(0),
    /** Labels of the host; those that operators set go before them. */
    labels: z.record(z.string(), z.string()).readonly().default({}),
    /** Where the rest of the system connects. */
    listen: reachableAddress,
    /** Where the upstream beside it announces itself. */
    announce: listenAddress,
    control: controlAddresses,
    /** Whether the upstream itself refuses an order with an old fencing number. */
    upstreamChecksFencingNumber: z.boolean().default(false),
    /** Attempts that its upstream takes at a time. */
    concurrency: z.int().min(1).max(10_000).default(16),
    shutdown: shutdownSettings,
    log: logSettings,
    metrics: metricsSettings,
  })
  .readonly();

export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
