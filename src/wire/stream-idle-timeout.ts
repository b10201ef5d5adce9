import type { Milliseconds } from '../common/index.js';
import type { RpcClientPool } from './rpc-client.js';

/**
 * Aborts a stream that receives no messages for too long.
 * An open connection can go silent for good. Without this limit a watch would wait forever and miss changes, and reports would be
 * lost without an error. The connection is retired as well, because its other streams are silent too.
 */
export class StreamIdleTimeout {
  readonly #clients: RpcClientPool;
  readonly #limit: Milliseconds;
  #timer: NodeJS.Timeout | undefined;

  constructor(clients: RpcClientPool, limit: Milliseconds) {
    this.#clients = clients;
    this.#limit = limit;
  }

  /** Restarts the timer for the next message; called when the stream opens and after each message. */
  restart(address: string, stream: AbortController): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#clients.retire(address);
      stream.abort();
    }, this.#limit);
  }

  /** Stops the timer; called when the stream has ended. */
  clear(): void {
    clearTimeout(this.#timer);
  }
}
