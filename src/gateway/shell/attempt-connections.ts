import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import type { Milliseconds } from '../../common/index.js';
import {
  AttemptService,
  type RunRequest,
  type RunResponse,
} from '../../generated/pistachiospoke/v1/attempt_pb.js';
import type { Address, AttemptName, AttemptState } from '../../model/index.js';
import type { AttemptMessage } from '../../sidecar/attempts/index.js';
import {
  decodeAttemptState,
  decodeMessage,
  encodeAttemptName,
} from '../../sidecar/attempts/wire.js';

/** One HTTP/2 connection to a sidecar. */
interface Connection {
  readonly address: Address;
  readonly session: Http2SessionManager;
  readonly client: Client<typeof AttemptService>;
}

/** Told what comes on one Run or Resume stream. */
export interface StreamListener {
  readonly message: (message: AttemptMessage) => void;
  /** The stream is over; `wasSent` is false when the request never left. */
  readonly closed: (wasSent: boolean) => void;
  /** Resolves when the listener can take more. */
  readonly ready: () => Promise<void>;
}

/** An open Run or Resume stream. */
export interface StreamHandle {
  /** Reads nothing more; the listener hears nothing more. */
  readonly drop: () => void;
  /** Takes new calls off the connection that carries this stream, and closes it. */
  readonly retireConnection: () => void;
}

const connectTimeout: Milliseconds = 1000;
const callTimeout: Milliseconds = 1000;

/** The gateway's connections to sidecars: one for each address, replaced when it goes silent. */
export class AttemptConnections {
  readonly #byAddress = new Map<Address, Connection>();

  /** Starts an attempt. */
  run(address: Address, request: RunRequest, listener: StreamListener): StreamHandle {
    return this.#stream(address, listener, (client, signal) => client.run(request, { signal }));
  }

  /** Takes an answer up again from an offset. */
  resume(
    address: Address,
    name: AttemptName,
    offset: number,
    listener: StreamListener,
  ): StreamHandle {
    const request = { name: encodeAttemptName(name), offset: BigInt(offset) };
    return this.#stream(address, listener, (client, signal) => client.resume(request, { signal }));
  }

  /** Asks after an attempt; undefined when no answer came in time. */
  async ask(address: Address, name: AttemptName): Promise<AttemptState | undefined> {
    const connection = this.#connect(address);
    if (!(await isConnected(connection))) {
      this.#retire(connection);
      return undefined;
    }
    try {
      const request = { name: encodeAttemptName(name) };
      const answer = await connection.client.ask(request, { timeoutMs: callTimeout });
      return decodeAttemptState(answer);
    } catch {
      this.#retire(connection);
      return undefined;
    }
  }

  /** Tells a sidecar that nobody wants the attempt any more; best effort. */
  async cancel(address: Address, name: AttemptName): Promise<void> {
    try {
      const request = { name: encodeAttemptName(name) };
      await this.#connect(address).client.cancel(request, { timeoutMs: callTimeout });
    } catch {
      // The sidecar ends an attempt that nobody listens to by itself.
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.#byAddress.values()) {
      connection.session.abort();
    }
    this.#byAddress.clear();
  }

  #stream(
    address: Address,
    listener: StreamListener,
    call: (client: Connection['client'], signal: AbortSignal) => AsyncIterable<RunResponse>,
  ): StreamHandle {
    const abort = new AbortController();
    const connection = this.#connect(address);
    void this.#read(connection, listener, abort.signal, () =>
      call(connection.client, abort.signal),
    );
    return {
      drop: () => {
        abort.abort();
      },
      retireConnection: () => {
        this.#retire(connection);
      },
    };
  }

  async #read(
    connection: Connection,
    listener: StreamListener,
    signal: AbortSignal,
    call: () => AsyncIterable<RunResponse>,
  ): Promise<void> {
    const isDropped = (): boolean => signal.aborted;
    if (!(await isConnected(connection))) {
      this.#retire(connection);
      this.#close(listener, signal, false);
      return;
    }
    if (isDropped()) {
      return;
    }
    try {
      for await (const response of call()) {
        const message = decodeMessage(response);
        if (message !== undefined && !isDropped()) {
          listener.message(message);
        }
        await listener.ready();
      }
    } catch {
      // Why it broke does not matter: the attempt is asked after.
    }
    this.#close(listener, signal, true);
  }

  #close(listener: StreamListener, signal: AbortSignal, wasSent: boolean): void {
    if (!signal.aborted) {
      listener.closed(wasSent);
    }
  }

  #connect(address: Address): Connection {
    const known = this.#byAddress.get(address);
    if (known !== undefined) {
      return known;
    }
    const baseUrl = `http://${address}`;
    const session = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager: session,
    });
    const created = { address, session, client: createClient(AttemptService, transport) };
    this.#byAddress.set(address, created);
    return created;
  }

  #retire(connection: Connection): void {
    if (this.#byAddress.get(connection.address) === connection) {
      this.#byAddress.delete(connection.address);
    }
    connection.session.abort();
  }
}

/**
 * Whether the connection is there; before anything is sent on it.
 * A failure here is a definite "never left". Without a bound of our own, a host that drops packets would hold an
 * attempt for as long as the kernel resends.
 */
async function isConnected(connection: Connection): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<'error'>((resolve) => {
    timer = setTimeout(() => {
      resolve('error');
    }, connectTimeout);
  });
  const state = await Promise.race([connection.session.connect(), expired]);
  clearTimeout(timer);
  return state !== 'error';
}
