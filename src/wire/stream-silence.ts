import type { Milliseconds } from '../common/index.js';
import type { RpcClientPool } from './rpc-client.js';

/**
 * Gives up a stream on which nothing comes any more.
 * An open connection can go silent for good: without this limit a watch would wait for ever and miss changes, and reports would go
 * nowhere, without an error. The connection goes with the stream, because all others on it are silent too.
 */
export class StreamSilence {
  readonly #clients: RpcClientPool;
  readonly #limit: Milliseconds;
  #timer: NodeJS.Timeout | undefined;

  constructor(clients: RpcClientPool, limit: Milliseconds) {
    this.#clients = clients;
    this.#limit = limit;
  }

  /** The next message has to come within the limit from now; called for the first one and after each. */
  expect(address: string, stream: AbortController): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#clients.retire(address);
      stream.abort();
    }, this.#limit);
  }

  /** The stream is over. */
  end(): void {
    clearTimeout(this.#timer);
  }
}
