import { Pool, type Dispatcher } from 'undici';

import type { Milliseconds } from '../../common/index.js';
import { createResettingConnector } from './resetting-socket.js';

/** Connections to upstreams, one pool for each address. */

/**
 * A connection that is not open after this time is given up. Links take a few milliseconds; a lost packet is sent again after
 * a second, and waiting for that would cost the request more than another upstream does.
 */
const connectTimeout: Milliseconds = 600;
/** Idle connections are kept at most this long, unless the upstream names a shorter time. */
const idleTimeout: Milliseconds = 4000;
/** Kept this much shorter than what an upstream names, so that a request does not cross its closing. */
const idleMargin: Milliseconds = 1000;
const fewestConnections = 2;

export class UpstreamConnections {
  readonly #pools = new Map<string, Pool>();

  /** The pool of an address; `limit` is taken when the pool is made. */
  find(address: string, limit: number): Dispatcher {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool = new Pool(`http://${address}`, {
      connections: Math.max(fewestConnections, limit),
      pipelining: 1,
      connect: createResettingConnector(connectTimeout),
      keepAliveTimeout: idleTimeout,
      keepAliveTimeoutThreshold: idleMargin,
      // A request has its own deadline; these would break off answers that are only slow.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /** Closes pools of upstreams that are there no more, once what they have under way is over. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (!addresses.has(address)) {
        this.#pools.delete(address);
        // A pool that is closed fails what is queued; whoever waits is told by its own request.
        pool.close().catch(() => undefined);
      }
    }
  }

  close(): void {
    for (const pool of this.#pools.values()) {
      // The process ends: nobody waits for what is still under way.
      pool.destroy().catch(() => undefined);
    }
    this.#pools.clear();
  }
}
