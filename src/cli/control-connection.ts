import { ConnectError, type CallOptions, type Client } from '@connectrpc/connect';

import type { Milliseconds } from '../common/index.js';
import { ControlService } from '../generated/pistachiospoke/v1/control_pb.js';
import type { RpcClientPool } from '../wire/index.js';

/** One control host, called over Connect. */

/** Outcome of one call. A `lost` call may have been executed, an `unsent` one was not. */
export type CallOutcome<Answer> =
  | { readonly type: 'answered'; readonly answer: Answer }
  | { readonly type: 'unsent'; readonly detail: string }
  | { readonly type: 'lost'; readonly detail: string };

/** An answer of control before decoding. */
export interface RawAnswer {
  readonly resultCode: number;
  readonly message: string;
  readonly answer: string;
}

type ControlServiceClient = Client<typeof ControlService>;

/** Connection of the command line to one control host. */
export class ControlConnection {
  readonly address: string;
  readonly #clients: RpcClientPool;
  readonly #timeout: Milliseconds;

  constructor(address: string, clients: RpcClientPool, timeout: Milliseconds) {
    this.address = address;
    this.#clients = clients;
    this.#timeout = timeout;
  }

  submit(command: string): Promise<CallOutcome<RawAnswer>> {
    return this.#call((client, options) => client.submit({ command }, options));
  }

  get(kind: string): Promise<CallOutcome<RawAnswer>> {
    return this.#call((client, options) => client.get({ kind }, options));
  }

  async #call<Answer>(
    call: (client: ControlServiceClient, options: CallOptions) => Promise<Answer>,
  ): Promise<CallOutcome<Answer>> {
    const client = this.#clients.client(ControlService, this.address);
    try {
      return { type: 'answered', answer: await call(client, { timeoutMs: this.#timeout }) };
    } catch (error) {
      // A connection that lost an answer may never respond again; the next call opens a new one.
      this.#clients.retire(this.address);
      const detail = `${this.address}: ${ConnectError.from(error).rawMessage}`;
      return { type: isUnsent(error) ? 'unsent' : 'lost', detail };
    }
  }
}

const connectFailureCodes: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];

/** Whether the connection could not be established. After any other error the call may have reached the control host. */
function isUnsent(error: unknown): boolean {
  const cause = error instanceof ConnectError ? error.cause : error;
  const code = cause instanceof Error && 'code' in cause ? cause.code : undefined;
  return typeof code === 'string' && connectFailureCodes.includes(code);
}
