import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import type { Milliseconds } from '../../common/index.js';
import { AttemptService } from '../../generated/pistachiospoke/v1/attempt_pb.js';
import type { Address } from '../../model/index.js';
import { smallestCompressed } from '../../wire/index.js';

const connectTimeout: Milliseconds = 1000;

/** One HTTP/2 connection from a gateway to a sidecar, with the calls that are open on it. */
export class SidecarConnection {
  readonly address: Address;
  readonly client: Client<typeof AttemptService>;
  readonly #session: Http2SessionManager;
  #openCalls = 0;
  #isRetired = false;

  constructor(address: Address) {
    const baseUrl = `http://${address}`;
    this.address = address;
    this.#session = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager: this.#session,
      compressMinBytes: smallestCompressed,
    });
    this.client = createClient(AttemptService, transport);
  }

  beginCall(): void {
    this.#openCalls += 1;
  }

  /** A call has come to its end, or nobody wants it any more. */
  endCall(): void {
    this.#openCalls -= 1;
    this.#closeIfUnused();
  }

  /**
   * Closes the connection once nothing is open on it.
   * Closing it at once would cut the other attempts on it: a connection is called silent for one of them, while the
   * rest may be well (the sidecar was slow, or this process was), and every one of them would be asked after at once.
   */
  retire(): void {
    this.#isRetired = true;
    this.#closeIfUnused();
  }

  abort(): void {
    this.#session.abort();
  }

  /**
   * Whether the connection is there; before anything is sent on it.
   * A failure here is a definite "never left". Without a bound of our own, a host that drops packets would hold an
   * attempt for as long as the kernel resends.
   */
  async isConnected(): Promise<boolean> {
    const state = this.#session.state();
    if (state === 'open' || state === 'idle') {
      return true;
    }
    let timer: NodeJS.Timeout | undefined;
    const expired = new Promise<'error'>((resolve) => {
      timer = setTimeout(() => {
        resolve('error');
      }, connectTimeout);
    });
    const reached = await Promise.race([this.#session.connect(), expired]);
    clearTimeout(timer);
    return reached !== 'error';
  }

  #closeIfUnused(): void {
    if (this.#isRetired && this.#openCalls <= 0) {
      this.#session.abort();
    }
  }
}
