import { Http2ServerRequest } from 'node:http2';

import { Code, ConnectError } from '@connectrpc/connect';

import type { InboundHold, InboundMemory } from '../common/index.js';
import { MessageSizes } from './message-sizes.js';

/** Requests of an RPC server that hold memory of the process for each message until it has arrived. */

/** Content types of calls with a single message; others prefix each message with its size. */
const unaryContentTypes: ReadonlySet<string> = new Set(['application/proto', 'application/json']);
/** A message is collected in pieces, then joined, and decoded from that. */
const copiesOfMessage = 2;

/** Creates the class of the requests of one server. */
export function createRpcRequestClass(memory: InboundMemory): typeof Http2ServerRequest {
  return class RpcRequest extends Http2ServerRequest {
    override async *[Symbol.asyncIterator](): AsyncGenerator<Buffer, undefined> {
      const isUnary = unaryContentTypes.has(this.headers['content-type'] ?? '');
      const sizes = new MessageSizes(isUnary);
      let hold: InboundHold | undefined;
      try {
        for await (const bytes of super[Symbol.asyncIterator]() as AsyncIterable<Buffer>) {
          sizes.push(bytes);
          if (sizes.incompleteBytes === 0) {
            hold?.release();
            hold = undefined;
          } else {
            hold ??= memory.open(() => {
              this.stream.destroy();
            });
            growTo(hold, sizes.incompleteBytes * copiesOfMessage);
            hold?.noteReceived(bytes.length);
          }
          yield bytes;
        }
      } finally {
        hold?.release();
      }
      return undefined;
    }
  };
}

/** Throws if there is no memory for so many bytes. */
function growTo(hold: InboundHold | undefined, bytes: number): void {
  if (hold === undefined || (bytes > hold.bytes && !hold.reserve(bytes - hold.bytes))) {
    throw new ConnectError('the memory for requests is taken', Code.ResourceExhausted);
  }
}
