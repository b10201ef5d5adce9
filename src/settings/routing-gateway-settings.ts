import { z } from 'zod';

import { listenAddress } from './address.js';
import {
  addControlAddresses,
  logSettings,
  metricsPageSettings,
  placeName,
  requiredSeedSettings,
} from './common-settings.js';

/** Bounds that the operators promise their callers. */
const bounds = z
  .strictObject({
    /**
     * Longest time without word of a control host that is up to date, after which requests with a key are refused. It has to be
     * shorter, by the age of that word, than the time in which a key that was taken away must stop working.
     */
    vouchMilliseconds: z.int().min(100).max(600_000).default(2500),
    /** Repeats allowed for each request, in the long run, over all gateways. */
    repeatShare: z.number().min(0).max(1).default(0.2),
    /** Repeats that all gateways together may make beyond that share. */
    repeatBurst: z.number().min(0).default(100),
    /** Gateways that share the connections of an instance, until control says how many there are. */
    gateways: z.int().min(1).default(8),
    /** Time between a planned stop and the end of the process, in which requests are finished. */
    graceMilliseconds: z.int().min(0).max(600_000).default(8000),
  })
  .readonly()
  .prefault({});

/** Settings of a gateway that sends requests straight to upstreams. */
export const routingGatewaySettingsSchema = z
  .strictObject({
    /** Unique among gateways. */
    name: placeName,
    failureDomain: placeName,
    /** Where callers connect. */
    listen: listenAddress,
    /** Where the load balancer before it asks whether it takes requests. */
    readiness: listenAddress,
    /** The control hosts. */
    seeds: requiredSeedSettings,
    bounds,
    metricsPage: metricsPageSettings,
    log: logSettings,
  })
  .readonly()
  .transform(addControlAddresses);

export type RoutingGatewaySettings = z.infer<typeof routingGatewaySettingsSchema>;
