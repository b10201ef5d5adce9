import { Agent, errors, Pool, request as sendRequest } from 'undici';

import {
  createFailure,
  FailureError,
  probeUpstream,
  type Milliseconds,
  type ProbeVerdict,
} from '../../common/index.js';
import {
  createUpstreamConnector,
  isFramedResponse,
  isPlainBody,
  LimitedClient,
  maximumUnreadBytes,
  type LimitedRequestOptions,
} from '../../wire/index.js';
import type { HeaderField, UpstreamRequest } from './messages.js';

/** A streamed response of the upstream. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** Throws when the connection breaks before the end of the response. */
  readonly chunks: AsyncIterable<Uint8Array>;
  /**
   * Whether the end of the response can be recognized: it has no body, a content length or chunks.
   * Otherwise the end of the connection ends it, also when the upstream has crashed.
   */
  readonly isFramed: boolean;
  /** Whether the body is in no transfer coding but chunks; nothing decodes others. */
  readonly isPlain: boolean;
  /** Closes the connection, in place of reading the body. */
  readonly discard: () => void;
}

/** Sends requests to the sidecar's local upstream. */
export interface UpstreamClient {
  /**
   * Resolves when the response head has been received.
   * Rejects with a `FailureError`: `upstreamUnreachable` when nothing was sent, `upstreamFailed` otherwise.
   */
  readonly start: (request: UpstreamRequest, signal: AbortSignal) => Promise<UpstreamResponse>;
  /** Checks whether the upstream accepts connections. */
  readonly probe?: () => Promise<ProbeVerdict>;
}

const connectTimeout: Milliseconds = 1000;

/** Codes of errors that occur before any byte of the request is sent. */
const unsentErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

type RequestOptions = Parameters<typeof sendRequest>[1] & LimitedRequestOptions;

/** Sends requests to an upstream over HTTP with undici, without retries. */
export class HttpUpstreamClient implements UpstreamClient {
  readonly #agent: Agent;
  readonly #readBaseUrl: () => string | undefined;

  /** `readBaseUrl` returns undefined while no upstream has announced itself. */
  constructor(readBaseUrl: () => string | undefined) {
    this.#readBaseUrl = readBaseUrl;
    const connect = createUpstreamConnector({ timeout: connectTimeout });
    this.#agent = new Agent({
      headersTimeout: 0,
      bodyTimeout: 0,
      factory: (origin, agentOptions) =>
        new Pool(origin, {
          ...(agentOptions as Pool.Options),
          factory: (url, options) => new LimitedClient(url, { ...options, connect }),
        }),
    });
  }

  async start(request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
    const baseUrl = this.#readBaseUrl();
    if (baseUrl === undefined) {
      throw new FailureError(
        createFailure('upstreamUnreachable', 'no upstream has announced itself'),
      );
    }
    let client: LimitedClient | undefined;
    const options: RequestOptions = {
      dispatcher: this.#agent,
      highWaterMark: maximumUnreadBytes,
      method: request.method,
      headers: flattenHeaders(request.headers),
      body: request.body.length > 0 ? request.body : null,
      signal,
      onAssigned: (assigned) => {
        client = assigned;
      },
      onInfo: ({ statusCode }) => client?.noteHead(statusCode),
    };
    try {
      const response = await sendRequest(new URL(request.path, baseUrl), options);
      client?.noteHead(response.statusCode);
      return {
        status: response.statusCode,
        headers: listHeaders(response.headers),
        chunks: response.body,
        isFramed: isFramed(request.method, response.statusCode, response.headers),
        isPlain: isPlainBody(response.headers['transfer-encoding']),
        discard: () => {
          response.body.on('error', () => undefined).destroy();
        },
      };
    } catch (error) {
      throw new FailureError(createFailure(classifyError(error), describeError(error)));
    }
  }

  async probe(): Promise<ProbeVerdict> {
    const baseUrl = this.#readBaseUrl();
    return baseUrl === undefined ? 'unanswered' : probeUpstream(new URL(baseUrl).host);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function isFramed(
  method: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  return method === 'HEAD' || isFramedResponse(status, (name) => headers[name]?.toString());
}

function classifyError(error: unknown): 'upstreamUnreachable' | 'upstreamFailed' {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const isUnsent = unsentErrorCodes.has(code) || error instanceof errors.ConnectTimeoutError;
  return isUnsent ? 'upstreamUnreachable' : 'upstreamFailed';
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function flattenHeaders(headers: readonly HeaderField[]): string[] {
  return headers.flatMap(({ name, value }) => [name, value]);
}

function listHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): readonly HeaderField[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    const values = Array.isArray(value) ? value : [value ?? ''];
    return values.map((single) => ({ name, value: single }));
  });
}
