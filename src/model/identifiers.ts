/** Type aliases that document what kind of identifier a string or number is. */

/** Name of a host, unique in a deployment, from its settings. */
export type HostName = string;
/** Identifier of one start of a sidecar; a restarted sidecar has a new one. */
export type Incarnation = string;
/** `ip:port`. */
export type Address = string;
/** Name of a declaration in the configuration; its groups are called `declaration/number`. */
export type DeclarationName = string;
/** Name of a placed group. */
export type GroupName = string;
/** Increases with every placement; an order or attempt with a lower number is refused. */
export type FencingNumber = number;
/** Increases by one with every accepted change of configuration; 0 before the first. */
export type Revision = number;
/** Name of a client account. */
export type AccountName = string;
/** Name of a plain service. */
export type ServiceName = string;
/** Identifier of a caller's request, created by the gateway that received it. */
export type RequestId = string;
/** Identifier of an operator's change; stays the same when the change is resent. */
export type ChangeId = string;
