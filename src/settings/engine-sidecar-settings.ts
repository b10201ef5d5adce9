import { z } from 'zod';

import { reachableAddress } from './address.js';
import {
  addControlAddresses,
  logSettings,
  metricsPageSettings,
  nameSchema,
  requiredSeedSettings,
} from './common-settings.js';

/** Settings of a sidecar whose engine manages the membership of its group itself. */
export const engineSidecarSettingsSchema = z
  .strictObject({
    /** Host name, unique in the deployment. */
    host: nameSchema,
    failureDomain: nameSchema,
    /** Address on which the local engine listens. */
    engine: reachableAddress,
    /** Name of the service that the engine is an instance of. */
    service: z.string().min(1),
    /** The control hosts. */
    seeds: requiredSeedSettings,
    metricsPage: metricsPageSettings,
    log: logSettings,
  })
  .readonly()
  .transform(addControlAddresses);

export type EngineSidecarSettings = z.infer<typeof engineSidecarSettingsSchema>;
