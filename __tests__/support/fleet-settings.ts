/** Settings files of a small deployment on loopback, as an operator would write them. */

/** One process of a fleet and where it is reached. */
export interface FleetAddresses {
  readonly name: string;
  /** Where processes of the system connect; for a gateway its internal address. */
  readonly address: string;
  /** Where callers connect (gateway), or where the upstream announces itself (sidecar); empty for control. */
  readonly outer: string;
}

export const fleetModel = 'demo-model';
export const fleetService = 'booking-desk';
export const fleetKey = 'demo-key';
/** SHA-256 of {@link fleetKey}. */
const fleetKeySha256 = 'c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c';

const failureDomains = ['bole', 'kality', 'merkato'] as const;
const quickShutdown = { graceMilliseconds: 200, hardLimitMilliseconds: 60_000 };

export function createControlSettings(
  own: FleetAddresses,
  index: number,
  voters: readonly FleetAddresses[],
  dataFolder: string,
): object {
  return {
    name: own.name,
    ...findPlace(index),
    listen: own.address,
    voters: voters.map(({ name, address }) => ({ name, address })),
    dataFolder,
  };
}

export function createGatewaySettings(
  own: FleetAddresses,
  index: number,
  control: readonly string[],
): object {
  return {
    name: own.name,
    ...findPlace(index),
    listen: own.outer,
    internal: own.address,
    control,
    limits: { maximumBodyBytes: 100_000 },
    shutdown: quickShutdown,
  };
}

export function createSidecarSettings(
  own: FleetAddresses,
  pool: 'llm' | 'desk',
  control: readonly string[],
): object {
  return {
    host: own.name,
    // One fabric domain lies in one failure domain.
    ...findPlace(0),
    fabricDomain: `${pool}-fabric`,
    accelerators: pool === 'llm' ? 8 : 0,
    labels: { pool },
    listen: own.address,
    announce: own.outer,
    control,
    concurrency: 64,
    shutdown: quickShutdown,
  };
}

/** One model in as many groups as the hosts allow, one plain service, one client account. */
export function createFleetConfiguration(replicaSize: number): object {
  return {
    groups: [
      {
        name: 'demo-llm',
        hosts: { pool: ['llm'] },
        replicaSize,
        carries: { model: fleetModel, version: '1' },
        reachableBy: { accounts: {} },
      },
    ],
    services: [
      {
        name: fleetService,
        hosts: { pool: ['desk'] },
        reachableBy: { accounts: {} },
        nonIdempotentByDefault: true,
      },
    ],
    accounts: [{ name: 'demo', keySha256: fleetKeySha256 }],
    policy: { leaseMilliseconds: 1000 },
    objectives: [{ target: 'demo-llm', availability: 0.999 }],
  };
}

function findPlace(index: number): object {
  return { region: 'addis', failureDomain: failureDomains[index % failureDomains.length] };
}
