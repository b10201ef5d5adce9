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
  /** Address of a control host that is none of the peers; undefined where it cannot be told. */
  readonly findAddress?: ((name: NodeName) => string | undefined) | undefined;
  readonly silenceLimit: Milliseconds;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Messages over one Connect stream in each direction of a pair. */
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

  /** A control host that was taken into the log later; the first message opens the stream and is sent anew by the core. */
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
    const { self, silenceLimit, clock, random } = this.#options;
    return new PeerStream({ self, silenceLimit, clock, random, peer, address });
  }
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
