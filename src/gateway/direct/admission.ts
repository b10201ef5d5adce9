import { createFailure, type Failure, type Milliseconds } from '../../common/index.js';
import {
  chooseService,
  type RoutedAccount,
  type RoutedService,
  type Route,
  type RouteTable,
} from '../../routing/index.js';
import { chooseRetryAfter } from './retry-after.js';

/** Admits or refuses requests according to the routing document in force; performs no I/O. */

/** Time limit assumed for callers that send none; about the shortest among those that do. */
const defaultTimeLimit: Milliseconds = 2500;

/** Properties of a request that are known from its headers, and of the routing document in force. */
export interface AdmissionInput {
  /** Undefined before the first document. */
  readonly table: RouteTable | undefined;
  /** Whether control has recently confirmed that the document is current. */
  readonly isConfirmed: boolean;
  /** Value of the Host header; may include a port. */
  readonly host: string;
  /** Includes the query string. */
  readonly path: string;
  readonly authorization: string;
  /** How long the caller waits; undefined if it does not say. */
  readonly timeLimit: Milliseconds | undefined;
  /** Uniform random number in [0, 1), for routes that are split between services. */
  readonly fraction: number;
}

/** A request that may be served. */
export interface Admitted {
  readonly type: 'admitted';
  readonly route: Route;
  readonly service: RoutedService;
  /** Undefined if the route requires no key. */
  readonly account: RoutedAccount | undefined;
  readonly table: RouteTable;
}

export type Admission = Admitted | { readonly type: 'refused'; readonly failure: Failure };

/**
 * Resolves the route, service and account of a request, or returns the reason for its refusal.
 * Without a document that control has confirmed, requests are refused as retryable: routes and keys may have changed, and a wrong
 * "unknown" error would end the caller's request for good. Only public routes continue to be served.
 */
export function admitRequest(input: AdmissionInput): Admission {
  const { table, isConfirmed, host, path, authorization, timeLimit, fraction } = input;
  const route = table?.findRoute(readHostName(host), path);
  const isKeyless = route?.isPublic === true || table?.needsKeys === false;
  if (table === undefined || (!isConfirmed && (route === undefined || !isKeyless))) {
    return refuse('routingUnconfirmed', chooseRetryAfter(timeLimit ?? defaultTimeLimit));
  }
  if (route === undefined) {
    return refuse('unknownRoute');
  }
  const account = table.findAccount(readBearerKey(authorization));
  if (!isKeyless && account === undefined) {
    return refuse('unknownAccount');
  }
  const service = table.findService(chooseService(route, fraction));
  return service === undefined
    ? refuse('unknownService')
    : { type: 'admitted', route, service, account, table };
}

function refuse(
  code: 'routingUnconfirmed' | 'unknownRoute' | 'unknownAccount' | 'unknownService',
  retryAfter?: Milliseconds,
): Admission {
  return { type: 'refused', failure: createFailure(code, '', retryAfter) };
}

/** Returns the host name in lower case and without the port, because host names are case-insensitive. */
function readHostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** Returns the bearer key; empty if there is none. */
function readBearerKey(authorization: string): string {
  return /^Bearer +(\S+) *$/i.exec(authorization)?.[1] ?? '';
}
