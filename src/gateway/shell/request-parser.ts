import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';
import { z } from 'zod';

import {
  createFailure,
  digest,
  measureJson,
  type Failure,
  type Milliseconds,
} from '../../common/index.js';
import type { Account, Configuration, RequestId } from '../../model/index.js';
import { formatSegmentSubject } from '../../routing/index.js';
import type { HeaderField, UpstreamRequest } from '../../sidecar/attempts/index.js';
import type { RequestFacts } from '../messages.js';
import { parseModelName, type RequestedOffer } from '../reach.js';
import type { ServicePath } from './paths.js';
import { listPromptSegments, readPromptPrefix } from './prompt-segments.js';

/** A parsed caller's request: its properties for routing and the message for the upstream. */
export interface ParsedRequest {
  readonly facts: RequestFacts;
  readonly upstream: UpstreamRequest;
}

/** What parsing needs besides the request itself. */
export interface ParseContext {
  readonly id: RequestId;
  readonly receivedAt: Milliseconds;
  readonly account: Account;
  readonly configuration: Configuration;
  readonly defaultTimeout: Milliseconds;
  /** Of JSON values in a chat completion request. */
  readonly maximumValues: number;
}

/** Names of the product-specific header fields and of the standard idempotency key field, in lower case. */
export const headerNames = {
  idempotencyKey: 'idempotency-key',
  nonIdempotent: 'pistachiospoke-non-idempotent',
  priority: 'pistachiospoke-priority',
  timeout: 'pistachiospoke-timeout-seconds',
  requestId: 'pistachiospoke-request-id',
  result: 'pistachiospoke-result',
} as const;

const chatPath = '/v1/chat/completions';
const maximumKeyLength = 512;
/** Lists and objects inside one another; formatting a value as text needs stack for each. */
const maximumDepth = 1000;
const maximumPriority = 9;
const maximumTimeoutSeconds = 600;
const millisecondsPerSecond = 1000;

/**
 * Header fields that are not forwarded: those of a single connection and those for the gateway.
 * `accept-encoding` is dropped because the gateway has to find the event boundaries of a stream.
 */
const droppedHeaders: ReadonlySet<string> = new Set([
  'accept-encoding',
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  headerNames.nonIdempotent,
  headerNames.priority,
  headerNames.timeout,
  headerNames.requestId,
]);

const chatBody = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.unknown()).min(1),
  stream: z.boolean().optional(),
});

/** Parses a chat completion request. */
export function parseChat(
  message: IncomingMessage,
  body: Buffer,
  context: ParseContext,
): Result<ParsedRequest, Failure> {
  const json = parseJson(body, context.maximumValues);
  if (json.err) {
    return json;
  }
  const checked = chatBody.safeParse(json.val);
  if (!checked.success) {
    const issue = checked.error.issues[0];
    const place = issue?.path.join('.') ?? '';
    return new Err(createFailure('invalidRequest', `${place}: ${issue?.message ?? ''}`));
  }
  const { model, messages } = checked.data;
  const affinityKey = digest([model, readPromptPrefix(messages)]);
  const wanted = parseModelName(model);
  const parsed = buildRequest(message, body, context, wanted, chatPath, affinityKey);
  return parsed.map((request) => addSegments(request, wanted, messages));
}

function addSegments(
  { facts, upstream }: ParsedRequest,
  wanted: RequestedOffer,
  messages: readonly unknown[],
): ParsedRequest {
  const target = wanted.type === 'model' ? wanted.model : wanted.service;
  const segments = listPromptSegments(messages).map((segment) => {
    return formatSegmentSubject(target, segment);
  });
  const crashSubjects = [...(facts.crashSubjects ?? []), ...segments];
  return { facts: { ...facts, crashSubjects }, upstream };
}

/** Parses a request to a plain service. */
export function parseService(
  message: IncomingMessage,
  body: Buffer,
  context: ParseContext,
  path: ServicePath,
): Result<ParsedRequest, Failure> {
  const wanted: RequestedOffer = { type: 'service', service: path.service };
  return buildRequest(message, body, context, wanted, path.rest, digest([context.id]));
}

function buildRequest(
  message: IncomingMessage,
  body: Buffer,
  context: ParseContext,
  wanted: RequestedOffer,
  path: string,
  affinityKey: string,
): Result<ParsedRequest, Failure> {
  const { headers } = message;
  const method = message.method ?? 'GET';
  const key = headers[headerNames.idempotencyKey];
  if (typeof key === 'string' && (key.length === 0 || key.length > maximumKeyLength)) {
    return new Err(createFailure('invalidRequest', `Idempotency-Key: 1 to ${maximumKeyLength}`));
  }
  const priority = parseNumber(headers[headerNames.priority], maximumPriority);
  const timeout = parseNumber(headers[headerNames.timeout], maximumTimeoutSeconds);
  if (Number.isNaN(priority) || Number.isNaN(timeout)) {
    return new Err(createFailure('invalidRequest', 'Pistachiospoke-Priority or -Timeout-Seconds'));
  }
  const { account, receivedAt, id, configuration, defaultTimeout } = context;
  const isNonIdempotent = readNonIdempotent(headers, method, wanted, configuration);
  const fingerprint = digest([method, path, body]);
  const isClaimed = isNonIdempotent && typeof key === 'string';
  const facts: RequestFacts = {
    id,
    account: account.name,
    accountWeight: account.limits.weight,
    priority: Math.max(account.limits.priority, priority ?? 0),
    isNonIdempotent,
    claim: isClaimed ? { key, fingerprint } : undefined,
    deadline:
      receivedAt + (timeout === undefined ? defaultTimeout : timeout * millisecondsPerSecond),
    route: { wanted, account: account.name, affinityKey },
    crashSubjects: [digest([account.name, method, path, body])],
  };
  const forwarded = [
    ...selectForwardedHeaders(message),
    { name: headerNames.requestId, value: id },
  ];
  return new Ok({ facts, upstream: { method, path, headers: forwarded, body, affinityKey } });
}

function readNonIdempotent(
  headers: IncomingHttpHeaders,
  method: string,
  wanted: RequestedOffer,
  configuration: Configuration,
): boolean {
  const marked = headers[headerNames.nonIdempotent];
  if (typeof marked === 'string') {
    return marked.toLowerCase() !== 'false';
  }
  if (wanted.type === 'model' || method === 'GET' || method === 'HEAD') {
    return false;
  }
  const service = configuration.services.find(({ name }) => name === wanted.service);
  return service?.nonIdempotentByDefault ?? false;
}

function parseJson(body: Buffer, maximumValues: number): Result<unknown, Failure> {
  const { values, depth } = measureJson(body);
  if (values > maximumValues) {
    return new Err(createFailure('bodyTooLarge', `At most ${maximumValues} JSON values.`));
  }
  if (depth > maximumDepth) {
    return new Err(createFailure('bodyTooLarge', `At most ${maximumDepth} nested JSON values.`));
  }
  try {
    return new Ok(JSON.parse(body.toString('utf8')) as unknown);
  } catch (error) {
    const detail = error instanceof Error ? error.message : '';
    return new Err(createFailure('malformedBody', detail));
  }
}

/** Undefined if the value is absent, NaN if it is not a number from 0 to the maximum. */
function parseNumber(value: string | string[] | undefined, maximum: number): number | undefined {
  if (value === undefined) {
    return undefined;
  }
  const number = typeof value === 'string' && value.trim() !== '' ? Number(value) : Number.NaN;
  return number >= 0 && number <= maximum ? number : Number.NaN;
}

function selectForwardedHeaders(message: IncomingMessage): readonly HeaderField[] {
  const fields: HeaderField[] = [];
  for (let index = 0; index + 1 < message.rawHeaders.length; index += 2) {
    const name = (message.rawHeaders[index] ?? '').toLowerCase();
    if (!droppedHeaders.has(name)) {
      fields.push({ name, value: message.rawHeaders[index + 1] ?? '' });
    }
  }
  return fields;
}
