import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Milliseconds } from '../../common/index.js';
import type { RequestMetadata } from './dialect.js';
import type { ResponseWriter } from './response-writer.js';

/** A received request whose route has not been resolved yet. */
export interface InboundRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly answer: ResponseWriter;
  /** What the caller states about the request beyond method, path and body. */
  readonly facts: RequestMetadata;
  readonly startedAt: Milliseconds;
}

/** Identifier of the last event that the caller has received; undefined to start from the beginning. */
export function readLastEventId({ request }: InboundRequest): string | undefined {
  const value = request.headers['last-event-id'];
  return typeof value === 'string' && value !== '' ? value : undefined;
}
