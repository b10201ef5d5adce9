import { request } from 'undici';
import type { Logger } from 'pino';

import type { Clock, Milliseconds } from '../../common/index.js';
import { isArtifactCovered, type Artifact, type FencingNumber } from '../../model/index.js';
import type { UpstreamState } from '../upstream/index.js';

/** Orders the engine beside the sidecar to load what its placement offers. */

const repeatInterval: Milliseconds = 1000;

export class EngineOrders {
  readonly #clock: Clock;
  readonly #logger: Logger;
  #lastOrder: { readonly fencingNumber: FencingNumber; readonly at: Milliseconds } | undefined;

  constructor(clock: Clock, logger: Logger) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** Sends a load order when the engine lacks the artifact; repeats it until it is loaded. */
  want(artifact: Artifact, fencingNumber: FencingNumber, upstream: UpstreamState): void {
    if (upstream.type === 'absent' || upstream.upstream.type !== 'engine') {
      return;
    }
    if (isArtifactCovered(artifact, upstream.upstream.loaded)) {
      return;
    }
    const now = this.#clock.monotonic();
    const last = this.#lastOrder;
    const isRepeat = last?.fencingNumber === fencingNumber;
    if (last !== undefined && isRepeat && now - last.at < repeatInterval) {
      return;
    }
    this.#lastOrder = { fencingNumber, at: now };
    void this.#send(upstream.address, { type: 'load', artifact, fencingNumber });
  }

  async #send(address: string, order: object): Promise<void> {
    try {
      const response = await request(`http://${address}/orders`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(order),
      });
      await response.body.dump();
      this.#logger.info({ order, status: response.statusCode }, 'order sent');
    } catch (error) {
      this.#logger.warn({ order, error: String(error) }, 'order not delivered');
    }
  }
}
