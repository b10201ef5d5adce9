import type { Artifact } from './artifact.js';
import type { AccountName, DeclarationName, ServiceName } from './identifiers.js';
import type { Labels, Selector } from './label.js';

/** Everything that operators declare; one revision is in effect at a time. */
export interface Configuration {
  readonly groups: readonly GroupDeclaration[];
  readonly services: readonly ServiceDeclaration[];
  readonly accounts: readonly Account[];
  readonly policy: Policy;
  readonly objectives: readonly Objective[];
}

/** Declares groups of hosts that serve one artifact. */
export interface GroupDeclaration {
  readonly name: DeclarationName;
  /** Hosts that may be members. */
  readonly hosts: Selector;
  /** Number of hosts in one group; all must be present. */
  readonly replicaSize: number;
  /** Desired number of groups; undefined for as many as the hosts allow. */
  readonly replicas: number | undefined;
  readonly carries: Artifact;
  readonly reachableBy: AccessPolicy;
}

/** Who may send requests to a group or service: client accounts, selected by label, and plain services, listed by name. */
export interface AccessPolicy {
  readonly accounts: Selector;
  /** Names of plain services that may send requests with their own key. */
  readonly services: readonly ServiceName[];
}

/** Declares a plain service that requests are routed to. */
export interface ServiceDeclaration {
  readonly name: ServiceName;
  readonly hosts: Selector;
  readonly reachableBy: AccessPolicy;
  /** Whether requests are non-idempotent unless they specify otherwise. */
  readonly nonIdempotentByDefault: boolean;
  /** Number of requests that one upstream accepts concurrently. */
  readonly concurrency: number;
}

/** A client account. */
export interface Account {
  readonly name: AccountName;
  readonly labels: Labels;
  /** SHA-256 of the bearer key, in lower-case hexadecimal. */
  readonly keySha256: string;
  /** The plain service that this key belongs to; undefined if the caller is not a plain service. */
  readonly service: ServiceName | undefined;
  readonly limits: AccountLimits;
}

/** Limits of one client account. */
export interface AccountLimits {
  /** Weight in weighted fair admission; at least 1. */
  readonly weight: number;
  /** Maximum number of requests in flight at one gateway; undefined for no limit. */
  readonly concurrentRequests: number | undefined;
  /** 0 is the most urgent; a request may lower its urgency but not raise it. */
  readonly priority: number;
}

/** Cost weights and limits of placement. */
export interface Policy {
  /** Cost per second of one group that should serve but cannot. */
  readonly groupDowntimeWeight: number;
  /** Cost per second of one healthy host that belongs to no complete group. */
  readonly strandedAcceleratorWeight: number;
  /** Whether a group may span fabric domains if it fits in no single one. */
  readonly allowAcrossFabricDomains: boolean;
  /** Maximum number of concurrent loads of weights; the weight store is rate-limited. */
  readonly concurrentLoads: number;
  /** Duration of a member's lease, in milliseconds. */
  readonly leaseMilliseconds: number;
}

/** A service-level objective for `report burn`. */
export interface Objective {
  /** Name of a group declaration or a plain service. */
  readonly target: string;
  /** Fraction of requests that must get a complete answer, for example 0.999. */
  readonly availability: number;
  /** Fraction of requests whose first token must arrive within the threshold. */
  readonly firstToken: { readonly share: number; readonly milliseconds: number } | undefined;
}
