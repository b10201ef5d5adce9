import { createFailure, type Failure, type Milliseconds } from '../../common/index.js';
import {
  chooseService,
  type RoutedAccount,
  type RoutedService,
  type Route,
  type RouteTable,
} from '../../routing/index.js';
import { chooseRetryAfter } from './retry-after.js';

/** Decides what a request may do, by the document in force; free of I/O. */

/** Time that a caller is taken to have that does not say it: about the shortest of those who do. */
const assumedTimeLimit: Milliseconds = 2500;

/** What is known of a request from its head, and of the document in force. */
export interface AdmissionQuestion {
  /** Undefined before the first document. */
  readonly table: RouteTable | undefined;
  /** Whether control vouched lately for that document. */
  readonly isVouched: boolean;
  /** Value of the Host field; may name a port. */
  readonly host: string;
  /** With the query. */
  readonly path: string;
  readonly authorization: string;
  /** How long the caller waits; undefined where it does not say. */
  readonly timeLimit: Milliseconds | undefined;
  /** Drawn evenly from 0 up to 1, for routes that are split over services. */
  readonly fraction: number;
}

/** A request that may be served. */
export interface Admitted {
  readonly type: 'admitted';
  readonly route: Route;
  readonly service: RoutedService;
  /** Undefined where the route needs no key. */
  readonly account: RoutedAccount | undefined;
  readonly table: RouteTable;
}

export type Admission = Admitted | { readonly type: 'refused'; readonly failure: Failure };

/**
 * The route, service and account of a request, or why there is none.
 * Without a document that control vouches for, nothing is said of routes and keys: both may have changed, and a wrong "unknown"
 * ends the caller's request for good. Only public routes are served on.
 */
export function admitRequest(question: AdmissionQuestion): Admission {
  const { table, isVouched, host, path, authorization, timeLimit, fraction } = question;
  const route = table?.findRoute(readHostName(host), path);
  const isKeyless = route?.isPublic === true || table?.needsKeys === false;
  if (table === undefined || (!isVouched && (route === undefined || !isKeyless))) {
    return refuse('routingUnconfirmed', chooseRetryAfter(timeLimit ?? assumedTimeLimit));
  }
  if (route === undefined) {
    return refuse('unknownRoute');
  }
  const account = table.findAccount(readKey(authorization));
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

/** Host names do not differ by case, and the port is no part of them. */
function readHostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/** The bearer key; empty for none. */
function readKey(authorization: string): string {
  return /^Bearer +(\S+) *$/i.exec(authorization)?.[1] ?? '';
}
