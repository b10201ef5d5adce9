import { z } from 'zod';

import { listenAddress } from './address.js';
import {
  addControlAddresses,
  createInboundSettings,
  logSettings,
  mebibyte,
  metricsPageSettings,
  nameSchema,
  requiredSeedSettings,
} from './common-settings.js';

/** Limits that operators guarantee to their callers. */
const bounds = z
  .strictObject({
    /**
     * Longest time without confirmation from an up-to-date control host; after it, requests with a key are refused. A revoked
     * key must stop working within a certain time: this limit plus the age of the confirmation has to stay below that time.
     */
    vouchMilliseconds: z.int().min(100).max(600_000).default(2500),
    /** Retry budget: sustained number of retries per request, over all gateways. */
    repeatShare: z.number().min(0).max(1).default(0.2),
    /** Retry budget: burst of retries beyond that share, for all gateways together. */
    repeatBurst: z.number().min(0).default(100),
    /** Assumed number of gateways that share the connections of an instance, until control reports the actual number. */
    gateways: z.int().min(1).default(8),
    /** Time between a planned stop and the exit of the process, for finishing requests in flight. */
    graceMilliseconds: z.int().min(0).max(600_000).default(8000),
  })
  .readonly()
  .prefault({});

/** Evacuations of failure domains; without this section an evacuation takes effect as soon as it is known. */
const evacuation = z
  .strictObject({
    /** Longest time from the acknowledgement of an evacuation until no request may reach an upstream in the domain. */
    limitMilliseconds: z.int().min(1).max(600_000),
  })
  .readonly()
  .optional();

/** How far the rate that a service declares for cold upstreams may be exceeded in any second, over all gateways. */
const coldUpstreams = z
  .strictObject({
    /** Factor on the declared rate. */
    overrun: z.number().min(0),
    /** Requests in addition. */
    slack: z.number().min(0),
  })
  .readonly();

/** Memory held for callers and upstreams. */
const memory = z
  .strictObject({
    /** Bytes of requests and responses that are held for all callers together. */
    bufferBytes: z.int().min(1),
  })
  .readonly();

/** How requests wait for a slot of an upstream. */
const admission = z
  .strictObject({
    /**
     * `newest`: the newest request first, regardless of accounts and priorities. `urgency`: by objective, priority and account; requests
     * that are not expected to get a slot in time are refused at once.
     */
    order: z.enum(['newest', 'urgency']).default('newest'),
  })
  .readonly()
  .prefault({});

/** As in the settings file; adapters add settings of their own. */
export const routingGatewaySettingsObject = z.strictObject({
  /** Unique among gateways. */
  name: nameSchema,
  failureDomain: nameSchema,
  /** Address on which callers connect. */
  listen: listenAddress,
  /** Address for the readiness checks of the load balancer in front of the gateway. */
  readiness: listenAddress,
  /** The control hosts. */
  seeds: requiredSeedSettings,
  bounds,
  admission,
  evacuation,
  /** Absent if requests to cold upstreams are not limited. */
  coldUpstreams: coldUpstreams.exactOptional(),
  /** Absent if the memory held for callers is not limited. */
  memory: memory.exactOptional(),
  inbound: createInboundSettings({ memoryBytes: 32 * mebibyte, connections: 1920 }),
  metricsPage: metricsPageSettings,
  log: logSettings,
});

/** Settings of a gateway that sends requests directly to upstreams. */
export const routingGatewaySettingsSchema = routingGatewaySettingsObject
  .readonly()
  .transform(addControlAddresses);

export type RoutingGatewaySettings = z.infer<typeof routingGatewaySettingsSchema>;
