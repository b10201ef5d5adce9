/** A TCP relay that can silently drop the traffic of open connections, as a firewall or load balancer that lost their state does. */
import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';

/** `carry` forwards all bytes; `swallow` silently drops them in both directions; `refuse` resets connections. */
export type RelayMode = 'carry' | 'swallow' | 'refuse';

interface RelayedConnection {
  readonly inbound: Socket;
  readonly outbound: Socket;
  /** A swallowed connection never forwards a byte again, even if the mode of the relay changes. */
  isSwallowed: boolean;
}

/** Listens on a loopback port and forwards each connection to the target. */
export class SwallowingRelay {
  readonly #server: Server;
  readonly #target: { readonly host: string; readonly port: number };
  readonly #connections = new Set<RelayedConnection>();
  #mode: RelayMode = 'carry';
  #carriedBytes = 0;

  private constructor(target: { readonly host: string; readonly port: number }) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (inbound) => {
      this.#accept(inbound);
    });
  }

  /** Starts a relay to the target address (`ip:port`), on the given port or on a free one. */
  static async open(targetAddress: string, port = 0): Promise<SwallowingRelay> {
    const separator = targetAddress.lastIndexOf(':');
    const relay = new SwallowingRelay({
      host: targetAddress.slice(0, separator),
      port: Number(targetAddress.slice(separator + 1)),
    });
    relay.#server.listen(port, '127.0.0.1');
    await once(relay.#server, 'listening');
    return relay;
  }

  /** `ip:port` at which clients connect to the relay. */
  get address(): string {
    const address = this.#server.address();
    if (typeof address !== 'object' || address === null) {
      throw new Error('the relay is closed');
    }
    return `127.0.0.1:${address.port}`;
  }

  get openConnections(): number {
    return this.#connections.size;
  }

  /** Number of bytes forwarded in both directions, without swallowed ones. */
  get carriedBytes(): number {
    return this.#carriedBytes;
  }

  /** Permanently drops the traffic of all open connections without closing them; new ones are not affected. Returns their number. */
  swallowOpenConnections(): number {
    let count = 0;
    for (const connection of this.#connections) {
      if (!connection.isSwallowed) {
        connection.isSwallowed = true;
        count += 1;
      }
    }
    return count;
  }

  /** Sets the mode of new connections. `swallow` and `refuse` also silence or reset the open ones, which simulates a partition. */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    switch (mode) {
      case 'carry':
        return;
      case 'swallow':
        this.swallowOpenConnections();
        return;
      case 'refuse':
        this.#resetAll();
        return;
    }
  }

  async close(): Promise<void> {
    this.#resetAll();
    this.#server.close();
    await once(this.#server, 'close');
  }

  #accept(inbound: Socket): void {
    if (this.#mode === 'refuse') {
      inbound.resetAndDestroy();
      return;
    }
    const outbound = connect({ ...this.#target, allowHalfOpen: true });
    const connection = { inbound, outbound, isSwallowed: this.#mode === 'swallow' };
    this.#connections.add(connection);
    this.#carry(connection, inbound, outbound);
    this.#carry(connection, outbound, inbound);
  }

  #carry(connection: RelayedConnection, from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (bytes: Buffer) => {
      if (connection.isSwallowed) {
        return;
      }
      this.#carriedBytes += bytes.length;
      // Backpressure: otherwise the relay would buffer a whole response in memory for a slow reader.
      if (!to.write(bytes)) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
    from.on('end', () => {
      if (!connection.isSwallowed) {
        to.end();
      }
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.#release(connection);
    });
  }

  /** If one peer closes a swallowed connection, the other peer must not notice. */
  #release(connection: RelayedConnection): void {
    const { inbound, outbound, isSwallowed } = connection;
    if (isSwallowed && !(inbound.destroyed && outbound.destroyed)) {
      return;
    }
    this.#connections.delete(connection);
    inbound.destroy();
    outbound.destroy();
  }

  #resetAll(): void {
    for (const { inbound, outbound } of this.#connections) {
      inbound.resetAndDestroy();
      outbound.resetAndDestroy();
    }
    this.#connections.clear();
  }
}
