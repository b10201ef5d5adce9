import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

import type { Milliseconds } from '../../common/index.js';
import { AttemptService } from '../../generated/pistachiospoke/v1/attempt_pb.js';
import type { Address } from '../../model/index.js';
import { compressionThreshold } from '../../wire/index.js';

const connectTimeout: Milliseconds = 1000;

/** One HTTP/2 connection from a gateway to a sidecar, with a count of its open calls. */
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
      compressMinBytes: compressionThreshold,
    });
    this.client = createClient(AttemptService, transport);
  }

  beginCall(): void {
    this.#openCalls += 1;
  }

  /** A call has ended or was dropped. */
  endCall(): void {
    this.#openCalls -= 1;
    this.#closeIfUnused();
  }

  /**
   * Closes the connection once no call is open on it.
   * Closing it at once would break its other attempts. A connection counts as silent because of one attempt, while the
   * others may be fine (the sidecar or this process was slow), and the states of all would be queried at once.
   */
  retire(): void {
    this.#isRetired = true;
    this.#closeIfUnused();
  }

  abort(): void {
    this.#session.abort();
  }

  /**
   * Establishes the connection before anything is sent on it; false if that fails.
   * A failure means that the request was definitely never sent. Without this timeout a host that drops packets would
   * delay an attempt for as long as the kernel retransmits.
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
