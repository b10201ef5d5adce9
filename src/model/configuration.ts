import type { Artifact } from './artifact.js';
import type { AccountName, DeclarationName, ServiceName } from './identifiers.js';
import type { Labels, Selector } from './label.js';

/** The whole of what operators declare; one revision of it is in force at a time. */
export interface Configuration {
  readonly groups: readonly GroupDeclaration[];
  readonly services: readonly ServiceDeclaration[];
  readonly accounts: readonly Account[];
  readonly policy: Policy;
  readonly objectives: readonly Objective[];
}

/** Groups of hosts that carry one artifact. */
export interface GroupDeclaration {
  readonly name: DeclarationName;
  /** Hosts that may be members. */
  readonly hosts: Selector;
  /** Hosts in one group; all must be present. */
  readonly replicaSize: number;
  /** How many groups are wanted; undefined for as many as the hosts allow. */
  readonly replicas: number | undefined;
  readonly carries: Artifact;
  readonly reachableBy: Reach;
}

/** Who may reach a group: client accounts and plain services, both chosen by labels. */
export interface Reach {
  readonly accounts: Selector;
  /** Names of plain services that may call the group with their own key. */
  readonly services: readonly ServiceName[];
}

/** A plain service that the system routes to. */
export interface ServiceDeclaration {
  readonly name: ServiceName;
  readonly hosts: Selector;
  readonly reachableBy: Reach;
  /** Whether requests are non-idempotent unless they say otherwise. */
  readonly nonIdempotentByDefault: boolean;
  /** Requests that one upstream takes at a time. */
  readonly concurrency: number;
}

/** A client account. */
export interface Account {
  readonly name: AccountName;
  readonly labels: Labels;
  /** SHA-256 of the bearer key, in lower-case hexadecimal. */
  readonly keySha256: string;
  /** The service this key belongs to, where the caller is one of the plain services. */
  readonly service: ServiceName | undefined;
  readonly limits: AccountLimits;
}

/** Limits of one client account. */
export interface AccountLimits {
  /** Share in weighted fair admission; at least 1. */
  readonly weight: number;
  /** Requests in flight at one gateway; undefined for no limit. */
  readonly concurrentRequests: number | undefined;
  /** 0 is the most urgent; a request may ask for less urgency, not for more. */
  readonly priority: number;
}

/** How placement weighs what hurts. */
export interface Policy {
  /** Cost of one second during which one group that should serve cannot. */
  readonly groupDowntimeWeight: number;
  /** Cost of one second during which one healthy host belongs to no whole group. */
  readonly strandedAcceleratorWeight: number;
  /** Whether a group may span fabric domains when no single one can hold it. */
  readonly allowAcrossFabricDomains: boolean;
  /** Loads of weights that may run at once; the weight store is rate-limited. */
  readonly concurrentLoads: number;
  /** Duration of a member's lease, in milliseconds. */
  readonly leaseMilliseconds: number;
}

/** A service-level objective for `report burn`. */
export interface Objective {
  /** Name of a group declaration or a plain service. */
  readonly target: string;
  /** Share of requests that must get a whole answer, for example 0.999. */
  readonly availability: number;
  /** Share of requests whose first token must come within the threshold. */
  readonly firstToken: { readonly share: number; readonly milliseconds: number } | undefined;
}
