import type { Milliseconds } from '../../common/index.js';
import type { RunRequest, RunResponse } from '../../generated/pistachiospoke/v1/attempt_pb.js';
import type { Address, AttemptName, AttemptState } from '../../model/index.js';
import type { AttemptMessage } from '../../sidecar/attempts/index.js';
import {
  decodeAttemptState,
  decodeMessage,
  encodeAttemptName,
} from '../../sidecar/attempts/wire.js';
import { SidecarConnection } from './sidecar-connection.js';

/** Receives the messages of one Run or Resume stream. */
export interface StreamListener {
  readonly message: (message: AttemptMessage) => void;
  /** The stream closed; `wasSent` is false when the request was never sent. */
  readonly closed: (wasSent: boolean) => void;
  /** Undefined when the listener can accept more immediately; otherwise resolves when it can. */
  readonly ready: () => Promise<void> | undefined;
}

/** An open Run or Resume stream. */
export interface StreamHandle {
  /** Stops reading; the listener is not called again. */
  readonly drop: () => void;
  /** Makes new calls use another connection than this stream. */
  readonly retireConnection: () => void;
}

type OpenStream = (
  client: SidecarConnection['client'],
  signal: AbortSignal,
) => AsyncIterable<RunResponse>;

const callTimeout: Milliseconds = 1000;

/** The gateway's connections to sidecars: one per address, replaced when it goes silent. */
export class AttemptConnections {
  readonly #byAddress = new Map<Address, SidecarConnection>();

  /** Starts an attempt. */
  run(address: Address, request: RunRequest, listener: StreamListener): StreamHandle {
    return this.#stream(address, listener, (client, signal) => client.run(request, { signal }));
  }

  /** Resumes an answer from an offset. */
  resume(
    address: Address,
    name: AttemptName,
    offset: number,
    listener: StreamListener,
  ): StreamHandle {
    const request = { name: encodeAttemptName(name), offset: BigInt(offset) };
    return this.#stream(address, listener, (client, signal) => client.resume(request, { signal }));
  }

  /** Queries the state of an attempt; undefined when no answer came in time. */
  async ask(address: Address, name: AttemptName): Promise<AttemptState | undefined> {
    const connection = this.#connect(address);
    connection.beginCall();
    try {
      if (await connection.isConnected()) {
        const request = { name: encodeAttemptName(name) };
        const answer = await connection.client.ask(request, { timeoutMs: callTimeout });
        return decodeAttemptState(answer);
      }
    } catch {
      // The state stays unknown; the caller of this method decides whether to query again.
    } finally {
      connection.endCall();
    }
    this.#retire(connection);
    return undefined;
  }

  /** Tells a sidecar that the attempt is no longer needed; best effort. */
  async cancel(address: Address, name: AttemptName): Promise<void> {
    const connection = this.#connect(address);
    connection.beginCall();
    try {
      const request = { name: encodeAttemptName(name) };
      await connection.client.cancel(request, { timeoutMs: callTimeout });
    } catch {
      // The sidecar ends an attempt without listeners by itself.
    } finally {
      connection.endCall();
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.#byAddress.values()) {
      connection.abort();
    }
    this.#byAddress.clear();
  }

  #stream(address: Address, listener: StreamListener, open: OpenStream): StreamHandle {
    const connection = this.#connect(address);
    const reader = new StreamReader(connection, listener, open);
    void reader.read().then((isConnected) => {
      if (!isConnected) {
        this.#retire(connection);
      }
    });
    return {
      drop: () => {
        reader.drop();
      },
      retireConnection: () => {
        this.#retire(connection);
      },
    };
  }

  #connect(address: Address): SidecarConnection {
    const known = this.#byAddress.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = new SidecarConnection(address);
    this.#byAddress.set(address, created);
    return created;
  }

  #retire(connection: SidecarConnection): void {
    if (this.#byAddress.get(connection.address) === connection) {
      this.#byAddress.delete(connection.address);
    }
    connection.retire();
  }
}

/** Reads one stream and passes its messages to a listener. */
class StreamReader {
  readonly #connection: SidecarConnection;
  readonly #listener: StreamListener;
  readonly #open: OpenStream;
  readonly #abort = new AbortController();
  /** The listener must not be called any more. */
  #isDropped = false;
  /** The last message was received or the stream was dropped; the call no longer counts as open. */
  #isOver = false;

  constructor(connection: SidecarConnection, listener: StreamListener, open: OpenStream) {
    this.#connection = connection;
    this.#listener = listener;
    this.#open = open;
    connection.beginCall();
  }

  /**
   * Aborts the stream unless its last message was received: it then ends by itself, and aborting it would cost a reset
   * and errors at both ends.
   */
  drop(): void {
    this.#isDropped = true;
    if (!this.#isOver) {
      this.#abort.abort();
      this.#endCall();
    }
  }

  /** Reads to the end; false when the connection could not be established. */
  async read(): Promise<boolean> {
    const isConnected = await this.#connection.isConnected();
    if (isConnected && !this.#isDropped) {
      await this.#readAll();
    }
    this.#endCall();
    if (!this.#isDropped) {
      this.#listener.closed(isConnected);
    }
    return isConnected;
  }

  async #readAll(): Promise<void> {
    try {
      for await (const response of this.#open(this.#connection.client, this.#abort.signal)) {
        this.#handle(response);
        const pause = this.#listener.ready();
        if (pause !== undefined) {
          await pause;
        }
      }
    } catch {
      // The reason does not matter: the state of the attempt is queried next.
    }
  }

  #handle(response: RunResponse): void {
    const message = decodeMessage(response);
    if (message === undefined || this.#isDropped) {
      return;
    }
    if (message.type === 'ended' || message.type === 'refused') {
      this.#endCall();
    }
    this.#listener.message(message);
  }

  #endCall(): void {
    if (!this.#isOver) {
      this.#isOver = true;
      this.#connection.endCall();
    }
  }
}
