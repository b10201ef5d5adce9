import type { IncomingHttpHeaders } from 'node:http';

import type { Milliseconds } from '../../common/index.js';
import type { UpstreamLoad } from '../../dispatch/index.js';
import type { EventFormat } from '../events/index.js';

/** Interface to the headers that a deployment's callers and upstreams use; an adapter implements it. */

/** What a caller states about its request beyond method, path and body. */
export interface RequestMetadata {
  /** Chosen by the caller; upstreams repeat it in their responses. */
  readonly requestId: string | undefined;
  /** How long the caller waits; undefined if it does not say. */
  readonly timeLimit: Milliseconds | undefined;
  /** Undefined if the request is not for a model. */
  readonly model: string | undefined;
  /** Undefined if the caller does not say. */
  readonly tokens: TokenCounts | undefined;
  /** Identifiers of the segments of its prompt that other requests may share, in order; empty if the caller does not say. */
  readonly promptSegments: readonly string[];
}

/** Work of a request for a model. */
export interface TokenCounts {
  /** Tokens to read. */
  readonly prompt: number;
  /** Tokens to write at most. */
  readonly answer: number;
}

/** Values that the gateway adds to a request for the upstream. */
export interface UpstreamRequestOptions {
  /** Only this instance may run the request. */
  readonly instance: string;
  readonly remaining: Milliseconds;
  /** Undefined if the route requires no key. */
  readonly account: string | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Identifier of the last event that the caller has received; undefined to start from the beginning. */
  readonly resumeAfter: string | undefined;
}

/** What the status and headers of an upstream's response mean. */
export interface ResponseMetadata {
  /** Whether the upstream did not run the request and never will. */
  readonly isNotRun: boolean;
  /**
   * Whether the response claims what it does not prove; its bytes answer no request. A success needs the receipt that upstreams add to each,
   * no encoding, and no statement that its request has not run; a status that tells callers that their request has not run needs that
   * statement.
   */
  readonly isUnproven: boolean;
  /** The request that the response belongs to; undefined if the upstream does not say. A response that does not name its request answers none. */
  readonly requestId: string | undefined;
  readonly load: UpstreamLoad | undefined;
  /** Whether the request reached an upstream other than the intended one. */
  readonly isMisdirected: boolean;
  /** Rate limit of the upstream across all gateways; undefined if the response contains none. */
  readonly requestsPerSecond: number | undefined;
  /** How long the upstream, which rejected the request, wants no others from this host; undefined if it does not say. */
  readonly retryAfter: Milliseconds | undefined;
  /** Whether the upstream is shutting down. */
  readonly isLeaving: boolean;
  /** How much longer the upstream is cold; undefined if it does not say. */
  readonly coldFor: Milliseconds | undefined;
}

/** Header names and values alternating, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

export interface Dialect {
  /** What the responses on streaming routes consist of. */
  readonly eventFormat: EventFormat;
  readonly readRequest: (headers: IncomingHttpHeaders) => RequestMetadata;
  /** Returns the caller's headers with those that the gateway sets, which replace any that the caller sent under the same names. */
  readonly writeUpstreamHeaders: (
    headers: RawHeaders,
    instructions: UpstreamRequestOptions,
  ) => string[];
  readonly readResponse: (status: number, headers: IncomingHttpHeaders) => ResponseMetadata;
}
