import type { Artifact } from './artifact.js';
import type { Address, HostName, Incarnation, ServiceName } from './identifiers.js';
import type { Labels } from './label.js';

/** The program beside a sidecar that does the work. */
export type Upstream = EngineUpstream | ServiceUpstream;

/** One host's part of a model engine. */
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

/** What a sidecar announces of its host. */
export interface HostFacts {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  /** Where its sidecar listens for the rest of the system. */
  readonly address: Address;
  readonly region: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly accelerators: number;
  /** Labels from its settings; labels that operators set in control go before them. */
  readonly labels: Labels;
  /** Undefined until an upstream has announced itself. */
  readonly upstream: Upstream | undefined;
  /** Whether the upstream is there and says that it is well. */
  readonly isHealthy: boolean;
  /** Whether the host is being stopped. */
  readonly isDraining: boolean;
}
