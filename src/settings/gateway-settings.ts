import { z } from 'zod';

import { listenAddress, reachableAddress } from './address.js';
import {
  controlAddresses,
  logSettings,
  metricsSettings,
  placeName,
  shutdownSettings,
} from './common-settings.js';

const mebibyte = 1024 * 1024;

/** Bounds on what one caller's request may take. */
const limits = z
  .strictObject({
    maximumBodyBytes: z
      .int()
      .min(1)
      .default(4 * mebibyte),
    /** Largest answer that is held before it is sent; streamed answers have no bound. */
    maximumAnswerBytes: z
      .int()
      .min(1)
      .default(16 * mebibyte),
    requestTimeoutMilliseconds: z.int().min(1).default(120_000),
  })
  .readonly()
  .prefault({});

/** Settings of pistachiospoke-gateway. */
export const gatewaySettingsSchema = z
  .strictObject({
    /** Unique among gateways. */
    name: placeName,
    region: placeName,
    failureDomain: placeName,
    /** Where callers connect. */
    listen: listenAddress,
    /** Where processes of the system connect. */
    internal: reachableAddress,
    control: controlAddresses,
    limits,
    shutdown: shutdownSettings,
    log: logSettings,
    metrics: metricsSettings,
  })
  .readonly();

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
