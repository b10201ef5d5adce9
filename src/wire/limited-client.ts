import { Client, type Dispatcher } from 'undici';

import { ResponseHeadLimit } from './response-head-limit.js';
import {
  EndlessHeadError,
  type UpstreamConnector,
  type UpstreamSocket,
} from './upstream-connector.js';

/** An HTTP client for one connection to an upstream, which closes it if the head of a response does not end. */

/** Responses with a lower status are interim. */
export const lowestFinalStatus = 200;

export interface LimitedClientOptions extends Omit<Client.Options, 'connect'> {
  readonly connect: UpstreamConnector;
}

/** Options of a request; pools and agents pass them on to their clients unchanged. */
export interface LimitedRequestOptions {
  /** Called with the client that sends the request, which must be told of the heads of its responses. */
  readonly onAssigned?: (client: LimitedClient) => void;
}

/** Sends one request at a time. */
export class LimitedClient extends Client {
  readonly #connection: { socket?: UpstreamSocket };
  #limit: ResponseHeadLimit | undefined;

  constructor(origin: URL | string, { connect, ...options }: LimitedClientOptions) {
    const connection: { socket?: UpstreamSocket } = {};
    super(origin, {
      ...options,
      pipelining: 1,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [, socket] = result;
          if (socket !== null) {
            connection.socket = socket;
            socket.onRead = (bytes) => this.#limit?.noteRead(bytes, performance.now()) === true;
          }
          callback(...result);
        });
      },
    });
    this.#connection = connection;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions & LimitedRequestOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    this.#limit = new ResponseHeadLimit();
    options.onAssigned?.(this);
    return super.dispatch(options, handler);
  }

  /** The head of a final or interim response has arrived. */
  noteHead(status: number): void {
    if (status >= lowestFinalStatus) {
      this.#limit = undefined;
    } else if (this.#limit?.noteInterimResponse() === true) {
      this.#connection.socket?.destroy(new EndlessHeadError());
    }
  }
}
