import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Milliseconds } from '../../common/index.js';
import type { CallerFacts } from './dialect.js';
import type { DirectAnswer } from './direct-answer.js';

/** A request as it came in, before anything is known of its route. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly answer: DirectAnswer;
  /** What its caller says of it beside method, path and body. */
  readonly facts: CallerFacts;
  readonly startedAt: Milliseconds;
}

/** Identifier of the last event that the caller has already; undefined to begin at the start. */
export function readLastEventId({ request }: Call): string | undefined {
  const value = request.headers['last-event-id'];
  return typeof value === 'string' && value !== '' ? value : undefined;
}
