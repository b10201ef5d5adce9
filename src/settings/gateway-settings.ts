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

/** Limits for a single caller's request. */
const limits = z
  .strictObject({
    maximumBodyBytes: z
      .int()
      .min(1)
      .default(4 * mebibyte),
    /** JSON values in a chat completion request: each costs memory and time, however short its text is. */
    maximumBodyValues: z.int().min(1).default(100_000),
    /** Largest answer that is buffered before it is sent; streamed answers are not limited. */
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
    name: nameSchema,
    region: nameSchema,
    failureDomain: nameSchema,
    /** Address on which callers connect. */
    listen: listenAddress,
    /** Address on which other processes of the system connect. */
    internal: reachableAddress,
    control: controlAddresses,
    limits,
    inbound: createInboundSettingsWithCalls({
      memoryBytes: 32 * mebibyte,
      connections: 1920,
      calls: 1024,
    }),
    shutdown: shutdownSettings,
    log: logSettings,
    metrics: metricsSettings,
  })
  .readonly();

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
