import { ConnectError, createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import type { Milliseconds } from '../common/index.js';
import { ControlService } from '../generated/pistachiospoke/v1/control_pb.js';

/** One control host, called over Connect. */

/** What came of one call; `lost` may have been carried out, `unsent` was not. */
export type CallOutcome<Answer> =
  | { readonly type: 'answered'; readonly answer: Answer }
  | { readonly type: 'unsent'; readonly detail: string }
  | { readonly type: 'lost'; readonly detail: string };

/** An answer of control as it came. */
export interface RawAnswer {
  readonly resultCode: number;
  readonly message: string;
  readonly answer: string;
}

/** A connection to one control host; closed by its owner. */
export class ControlConnection {
  readonly address: string;
  readonly #sessions: Http2SessionManager;
  readonly #client: Client<typeof ControlService>;
  readonly #timeout: Milliseconds;

  constructor(address: string, timeout: Milliseconds) {
    const baseUrl = `http://${address}`;
    this.address = address;
    this.#timeout = timeout;
    this.#sessions = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: this.#sessions,
    });
    this.#client = createClient(ControlService, transport);
  }

  submit(command: string): Promise<CallOutcome<RawAnswer>> {
    return this.#call(() => this.#client.submit({ command }, { timeoutMs: this.#timeout }));
  }

  get(kind: string): Promise<CallOutcome<RawAnswer>> {
    return this.#call(() => this.#client.get({ kind }, { timeoutMs: this.#timeout }));
  }

  close(): void {
    this.#sessions.abort();
  }

  async #call<Answer>(call: () => Promise<Answer>): Promise<CallOutcome<Answer>> {
    try {
      return { type: 'answered', answer: await call() };
    } catch (error) {
      const detail = `${this.address}: ${ConnectError.from(error).rawMessage}`;
      return { type: isUnsent(error) ? 'unsent' : 'lost', detail };
    }
  }
}

const unsentCauses: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];

/** Whether the connection could not even be made; anything else may have reached the control host. */
function isUnsent(error: unknown): boolean {
  const cause = error instanceof ConnectError ? error.cause : error;
  const code = cause instanceof Error && 'code' in cause ? cause.code : undefined;
  return typeof code === 'string' && unsentCauses.includes(code);
}
