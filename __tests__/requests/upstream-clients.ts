import { UpstreamAttempt, UpstreamConnections } from '../../src/gateway/direct/index.js';
import { HttpUpstreamClient } from '../../src/sidecar/attempts/index.js';

/** The two clients that send requests to upstreams: those of a gateway and of a sidecar. */

export type Ending = 'whole' | 'broken';

/** What a client has received so far. */
export interface Received {
  hasHead: boolean;
  body: string;
}

/** Sends a request to the upstream and tells how the client takes the end of the response. */
export type Send = (received: Received) => Promise<Ending>;

export interface UpstreamClient {
  readonly send: Send;
  readonly close: () => unknown;
}

/** A gateway's connections to an upstream; `onFirstData` is called with each attempt before its first bytes are counted. */
export function openGatewayClient(
  readAddress: () => string,
  onFirstData: (attempt: UpstreamAttempt) => void = () => undefined,
): UpstreamClient {
  const connections = new UpstreamConnections();
  const send: Send = (received) =>
    new Promise((resolve) => {
      const attempt = new UpstreamAttempt(
        connections.find(readAddress(), 1),
        { method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
        {
          onStart: () => undefined,
          onHead: () => {
            received.hasHead = true;
          },
          onData: (bytes) => {
            if (received.body === '') {
              onFirstData(attempt);
            }
            received.body += bytes.toString();
          },
          onEnd: () => {
            resolve('whole');
          },
          onError: () => {
            resolve('broken');
          },
        },
      );
    });
  return {
    send,
    close: () => {
      connections.close();
    },
  };
}

/** A request that a sidecar sends to its upstream. */
export const sidecarRequest = {
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  affinityKey: '',
};

/** A sidecar's connections to its upstream; `beforeReading` is awaited between the head and the body of a response. */
export function openSidecarClient(
  readAddress: () => string,
  beforeReading: () => Promise<void> = () => Promise.resolve(),
): UpstreamClient {
  const client = new HttpUpstreamClient(() => `http://${readAddress()}`);
  const send: Send = async (received) => {
    try {
      const { chunks } = await client.start(sidecarRequest, new AbortController().signal);
      received.hasHead = true;
      await beforeReading();
      for await (const bytes of chunks) {
        received.body += Buffer.from(bytes).toString();
      }
      return 'whole';
    } catch {
      return 'broken';
    }
  };
  return { send, close: () => client.close() };
}
