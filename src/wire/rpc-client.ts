import type { DescService } from '@bufbuild/protobuf';
import { createClient, type Client } from '@connectrpc/connect';

import { RpcConnection, type RpcConnectionTimeouts } from './rpc-connection.js';

/** Connections to other processes of the system, one for each address. */

/** Pings on a connection with open streams detect a dead peer; callers handle a live peer that sends nothing on a stream. */
const defaultTimeouts: RpcConnectionTimeouts = {
  connect: 1000,
  pingInterval: 2000,
  pingAnswer: 1500,
};

/** Provides clients and retires connections that went silent. */
export class RpcClientPool {
  readonly #timeouts: RpcConnectionTimeouts;
  /** The connections for new calls, by address. */
  readonly #connections = new Map<string, RpcConnection>();
  /** Also those that were replaced while calls were open on them. */
  readonly #unretired = new Set<RpcConnection>();

  constructor(timeouts: RpcConnectionTimeouts = defaultTimeouts) {
    this.#timeouts = timeouts;
  }

  /** Returns a client of a service at an address; it connects on the first call. */
  client<Service extends DescService>(service: Service, address: string): Client<Service> {
    return createClient(service, this.#connect(address).transport);
  }

  /**
   * Drops the connection to an address, so that the next call opens a new one.
   * A middlebox between two hosts can lose track of an open connection: its bytes are then dropped without an error,
   * while new connections work. Calls still open on the old connection fail.
   */
  retire(address: string): void {
    const connection = this.#connections.get(address);
    this.#connections.delete(address);
    connection?.retire();
  }

  /** Retires all connections. */
  close(): void {
    this.#connections.clear();
    for (const connection of [...this.#unretired]) {
      connection.retire();
    }
  }

  #connect(address: string): RpcConnection {
    const existing = this.#connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const connection: RpcConnection = new RpcConnection({
      address,
      timeouts: this.#timeouts,
      onSilent: () => {
        this.#replace(address, connection);
      },
      onRetired: () => {
        this.#unretired.delete(connection);
      },
    });
    this.#connections.set(address, connection);
    this.#unretired.add(connection);
    return connection;
  }

  /** The next call opens a new connection; calls that are open on the silent one may end there. */
  #replace(address: string, silent: RpcConnection): void {
    if (this.#connections.get(address) === silent) {
      this.#connections.delete(address);
    }
    silent.retireWhenUnused();
  }
}
