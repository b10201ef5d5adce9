import type { Artifact } from './artifact.js';
import type { Address, HostName, Incarnation, ServiceName } from './identifiers.js';
import type { Labels } from './label.js';

/** The program next to a sidecar that processes requests. */
export type Upstream = EngineUpstream | ServiceUpstream;

/** The part of a model engine that runs on one host. */
export interface EngineUpstream {
  readonly type: 'engine';
  readonly loaded: readonly Artifact[];
  /** Whether the engine itself refuses an order with an old fencing number. */
  readonly checksFencingNumber: boolean;
}

/** A plain service. */
export interface ServiceUpstream {
  readonly type: 'service';
  readonly service: ServiceName;
}

/** What a sidecar announces about its host. */
export interface HostFacts {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  /** Address at which the sidecar listens for other processes of the system. */
  readonly address: Address;
  readonly region: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly accelerators: number;
  /** Labels from the settings of the host; labels that operators set in control take precedence. */
  readonly labels: Labels;
  /** Undefined until an upstream has announced itself. */
  readonly upstream: Upstream | undefined;
  /** Whether the upstream is present and reports that it is healthy. */
  readonly isHealthy: boolean;
  /** Whether the host is shutting down. */
  readonly isDraining: boolean;
}
