import { Code, ConnectError } from '@connectrpc/connect';

import type { Clock, Milliseconds, RandomSource } from '../common/index.js';
import type { ConsensusEnvelope } from '../generated/pistachiospoke/v1/control_pb.js';
import { parseMessage, type ConsensusMessage, type NodeName } from './core/index.js';
import { PeerStream } from './peer-stream.js';
import type { ConsensusTransport } from './transport.js';

/** Another control host and its address. */
export interface ConsensusPeer {
  readonly name: NodeName;
  /** `ip:port`. */
  readonly address: string;
}

/** Options of the transport. */
export interface StreamTransportOptions {
  readonly self: NodeName;
  readonly peers: readonly ConsensusPeer[];
  /** Looks up the address of a control host that is not among the peers; undefined if unknown. */
  readonly findAddress?: ((name: NodeName) => string | undefined) | undefined;
  readonly connectionTimeout: Milliseconds;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Sends messages over one Connect stream per direction between each pair of hosts. */
export class StreamTransport implements ConsensusTransport {
  readonly #options: StreamTransportOptions;
  readonly #streams: Map<NodeName, PeerStream>;
  #isOpen = false;

  constructor(options: StreamTransportOptions) {
    this.#options = options;
    this.#streams = new Map(
      options.peers.map(({ name, address }): [NodeName, PeerStream] => [
        name,
        this.#createStream(name, address),
      ]),
    );
  }

  readonly open = (): void => {
    this.#isOpen = true;
    for (const stream of this.#streams.values()) {
      stream.open();
    }
  };

  readonly send = (to: NodeName, message: ConsensusMessage): void => {
    const stream = this.#streams.get(to) ?? this.#addStream(to);
    stream?.send(message);
  };

  readonly close = async (): Promise<void> => {
    this.#isOpen = false;
    await Promise.all([...this.#streams.values()].map((stream) => stream.close()));
  };

  /** Opens the stream to a control host that was admitted later. The first message is dropped; the core resends it. */
  #addStream(to: NodeName): PeerStream | undefined {
    const address = this.#isOpen ? this.#options.findAddress?.(to) : undefined;
    if (address === undefined) {
      return undefined;
    }
    const stream = this.#createStream(to, address);
    this.#streams.set(to, stream);
    stream.open();
    return stream;
  }

  #createStream(peer: NodeName, address: string): PeerStream {
    const { self, connectionTimeout, clock, random } = this.#options;
    return new PeerStream({ self, connectionTimeout, clock, random, peer, address });
  }
}

/** Passes on the messages of a peer until its stream ends; refuses a stream that is meant for another host. */
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
