/** Names of the things the system speaks about; aliases that tell which name a string is. */

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
/** Grows with every placement; an order or attempt with an older one is refused. */
export type FencingNumber = number;
/** Grows by one with every accepted change of configuration; 0 before the first. */
export type Revision = number;
/** Name of a client account. */
export type AccountName = string;
/** Name of a plain service. */
export type ServiceName = string;
/** Identifier of a caller's request, made by the gateway that owns it. */
export type RequestId = string;
/** Identifier that an operator's change keeps over resends. */
export type ChangeId = string;
