import { Agent, request as sendRequest, errors } from 'undici';

import { createFailure, FailureError, type Milliseconds } from '../../common/index.js';
import type { HeaderField, UpstreamRequest } from './messages.js';

/** An answer of the upstream as it comes. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** Throws when the connection breaks before the end of the answer. */
  readonly chunks: AsyncIterable<Uint8Array>;
  /** Whether the answer says where it ends; without that a broken connection looks like an end. */
  readonly isFramed: boolean;
}

/** Hands requests to the upstream beside the sidecar. */
export interface UpstreamCaller {
  /**
   * Resolves when the head of the answer is there.
   * Rejects with a `FailureError`: `upstreamUnreachable` when nothing was sent, `upstreamFailed` otherwise.
   */
  readonly start: (request: UpstreamRequest, signal: AbortSignal) => Promise<UpstreamAnswer>;
}

const connectTimeout: Milliseconds = 1000;

/** Codes of errors that come before anything was sent. */
const notSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Calls an upstream over HTTP by undici; never sends a request twice. */
export class HttpUpstreamCaller implements UpstreamCaller {
  readonly #agent: Agent;
  readonly #readBaseUrl: () => string | undefined;

  /** `readBaseUrl` answers undefined while no upstream has announced itself. */
  constructor(readBaseUrl: () => string | undefined) {
    this.#readBaseUrl = readBaseUrl;
    this.#agent = new Agent({
      connect: { timeout: connectTimeout },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async start(request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamAnswer> {
    const baseUrl = this.#readBaseUrl();
    if (baseUrl === undefined) {
      throw new FailureError(createFailure('upstreamUnreachable', 'none has announced itself'));
    }
    try {
      const answer = await sendRequest(new URL(request.path, baseUrl), {
        dispatcher: this.#agent,
        method: request.method,
        headers: flattenHeaders(request.headers),
        body: request.body.length > 0 ? request.body : null,
        signal,
      });
      return {
        status: answer.statusCode,
        headers: listHeaders(answer.headers),
        chunks: answer.body,
        isFramed: isFramed(request.method, answer.statusCode, answer.headers),
      };
    } catch (error) {
      throw new FailureError(createFailure(classify(error), describeError(error)));
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}

function isFramed(
  method: string,
  status: number,
  headers: Readonly<Record<string, unknown>>,
): boolean {
  const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
  return hasNoBody || 'content-length' in headers || 'transfer-encoding' in headers;
}

function classify(error: unknown): 'upstreamUnreachable' | 'upstreamFailed' {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const isNotSent = notSentCodes.has(code) || error instanceof errors.ConnectTimeoutError;
  return isNotSent ? 'upstreamUnreachable' : 'upstreamFailed';
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
