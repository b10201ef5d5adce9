import { Pool, type Dispatcher } from 'undici';

import type { Milliseconds } from '../../common/index.js';
import type { RoutingView } from '../../watch/index.js';
import { createUpstreamConnector, LimitedClient } from '../../wire/index.js';
import { ResettingSocket } from './resetting-socket.js';

/** Connections to upstreams, with one pool per address. */

/**
 * Connection attempts fail after this time. Links take a few milliseconds. A lost packet is retransmitted after a second; waiting for
 * that would cost the request more than trying another upstream.
 */
const connectTimeout: Milliseconds = 600;
/** Idle connections are kept for this long, unless the upstream states a shorter time. */
const idleTimeout: Milliseconds = 4000;
/** Subtracted from the time that an upstream states, so that no request is sent while the upstream closes the connection. */
const idleMargin: Milliseconds = 1000;
const minimumConnections = 2;

export class UpstreamConnections {
  readonly #pools = new Map<string, Pool>();
  readonly #onReset: (address: string) => void;

  /** `onReset` is called with the address of an upstream that has reset a connection. */
  constructor(onReset: (address: string) => void = () => undefined) {
    this.#onReset = onReset;
  }

  /** Returns the pool of an address; `limit` applies only when the pool is created. */
  find(address: string, limit: number): Dispatcher {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const connect = createUpstreamConnector({
      timeout: connectTimeout,
      createSocket: () => new ResettingSocket(),
      onReset: this.#onReset,
    });
    const pool = new Pool(`http://${address}`, {
      connections: Math.max(minimumConnections, limit),
      pipelining: 1,
      factory: (origin, options) => new LimitedClient(origin, { ...options, connect }),
      keepAliveTimeout: idleTimeout,
      keepAliveTimeoutThreshold: idleMargin,
      // Requests have their own deadlines; these timeouts would interrupt responses that are merely slow.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(address, pool);
    return pool;
  }

  /** Closes pools of upstreams that no longer exist, after their requests in flight have ended. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.#pools) {
      if (!addresses.has(address)) {
        this.#pools.delete(address);
        // Closing a pool fails its queued requests; each of them is reported by its own attempt.
        pool.close().catch(() => undefined);
      }
    }
  }

  close(): void {
    for (const pool of this.#pools.values()) {
      // The process is stopping, so nobody waits for requests in flight.
      pool.destroy().catch(() => undefined);
    }
    this.#pools.clear();
  }
}

/** Addresses of all upstreams that may get requests: heads of groups, and instances. */
export function listUpstreamAddresses({
  engineGroups,
  instances,
}: RoutingView): ReadonlySet<string> {
  const heads = [...engineGroups.values()].map(({ members }) => members[0]?.address ?? '');
  return new Set([...heads, ...[...instances.values()].map(({ address }) => address)]);
}
