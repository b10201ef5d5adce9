/** Settings of a small deployment on loopback, in the form in which an operator writes them. */

/** Name and addresses of one process of a fleet. */
export interface FleetAddresses {
  readonly name: string;
  /** Address for other processes of the system; for a gateway its internal address. */
  readonly address: string;
  /** Address for callers (gateway) or for announcements of the upstream (sidecar); not used for control. */
  readonly externalAddress: string;
}

export const fleetModel = 'demo-model';
export const fleetService = 'booking-desk';
export const fleetKey = 'demo-key';
/** SHA-256 of {@link fleetKey}. */
const fleetKeySha256 = 'c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c';

const failureDomains = ['bole', 'kality', 'merkato'] as const;

/** Times of a graceful shutdown in milliseconds. */
export interface ShutdownTimes {
  readonly graceMilliseconds: number;
  readonly hardLimitMilliseconds: number;
}

const quickShutdown: ShutdownTimes = { graceMilliseconds: 200, hardLimitMilliseconds: 60_000 };

export function createControlSettings(
  own: FleetAddresses,
  index: number,
  voters: readonly FleetAddresses[],
  dataFolder: string,
): object {
  return {
    name: own.name,
    ...createLocation(index),
    listen: own.address,
    voters: voters.map(({ name, address }) => ({ name, address })),
    dataFolder,
  };
}

export function createGatewaySettings(
  own: FleetAddresses,
  index: number,
  control: readonly string[],
  shutdown = quickShutdown,
  maximumBodyBytes = 100_000,
): object {
  return {
    name: own.name,
    ...createLocation(index),
    listen: own.externalAddress,
    internal: own.address,
    control,
    limits: { maximumBodyBytes },
    inbound: { connections: 1000 },
    shutdown,
  };
}

export function createSidecarSettings(
  own: FleetAddresses,
  pool: 'llm' | 'desk',
  control: readonly string[],
): object {
  return {
    host: own.name,
    // A fabric domain must lie within a single failure domain.
    ...createLocation(0),
    fabricDomain: `${pool}-fabric`,
    accelerators: pool === 'llm' ? 8 : 0,
    labels: { pool },
    listen: own.address,
    announce: own.externalAddress,
    control,
    concurrency: 64,
    shutdown: quickShutdown,
  };
}

/** One model with as many groups as the hosts allow, one plain service and one client account. */
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

function createLocation(index: number): object {
  return { region: 'addis', failureDomain: failureDomains[index % failureDomains.length] };
}
