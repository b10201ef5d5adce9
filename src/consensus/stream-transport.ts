import { Code, ConnectError } from '@connectrpc/connect';

import type { Clock, Milliseconds, RandomSource } from '../common/index.js';
import type { ConsensusEnvelope } from '../generated/pistachiospoke/v1/control_pb.js';
import { parseMessage, type ConsensusMessage, type NodeName } from './core/index.js';
import { PeerStream } from './peer-stream.js';
import type { ConsensusTransport } from './transport.js';

/** Another control host and where it listens. */
export interface ConsensusPeer {
  readonly name: NodeName;
  /** `ip:port`. */
  readonly address: string;
}

/** Options of the transport. */
export interface StreamTransportOptions {
  readonly self: NodeName;
  readonly peers: readonly ConsensusPeer[];
  readonly silenceLimit: Milliseconds;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Messages over one Connect stream in each direction of a pair. */
export class StreamTransport implements ConsensusTransport {
  readonly #streams: ReadonlyMap<NodeName, PeerStream>;

  constructor({ peers, ...options }: StreamTransportOptions) {
    this.#streams = new Map(
      peers.map(({ name, address }): [NodeName, PeerStream] => [
        name,
        new PeerStream({ ...options, peer: name, address }),
      ]),
    );
  }

  readonly open = (): void => {
    for (const stream of this.#streams.values()) {
      stream.open();
    }
  };

  readonly send = (to: NodeName, message: ConsensusMessage): void => {
    this.#streams.get(to)?.send(message);
  };

  readonly close = async (): Promise<void> => {
    await Promise.all([...this.#streams.values()].map((stream) => stream.close()));
  };
}

/** Hands on what a peer sends, until its stream ends; a stream that is for another host is refused. */
export async function readEnvelopes(
  self: NodeName,
  envelopes: AsyncIterable<ConsensusEnvelope>,
  receive: (from: NodeName, message: ConsensusMessage) => void,
): Promise<void> {
  for await (const envelope of envelopes) {
    if (envelope.to !== self) {
      throw new ConnectError(`this is ${self}, not ${envelope.to}`, Code.FailedPrecondition);
    }
    const message = parseMessage(envelope.message);
    if (message !== undefined) {
      receive(envelope.from, message);
    }
  }
}
