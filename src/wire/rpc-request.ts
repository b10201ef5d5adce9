import type { IncomingHttpHeaders } from 'node:http';
import { Http2ServerRequest } from 'node:http2';

import { Code, ConnectError } from '@connectrpc/connect';

import type { InboundHold, InboundMemory } from '../common/index.js';
import { MessageSizes } from './message-sizes.js';

/** Requests of an RPC server that hold memory of the process for each message until it has arrived. */

/** Format of the only message of a call. */
const unaryType = 'application/proto';
/** Formats in which each message begins with its size. */
const streamTypes: ReadonlySet<string> = new Set([
  'application/connect+proto',
  'application/grpc',
  'application/grpc+proto',
]);
/** Headers that tell how messages are compressed. Processes of the system compress responses only. */
const compressionHeaders = ['content-encoding', 'connect-content-encoding', 'grpc-encoding'];
const uncompressed = 'identity';
/** A message is collected in pieces, then joined, and decoded from that. */
const copiesOfMessage = 2;

/** Creates the class of the requests of one server. */
export function createRpcRequestClass(memory: InboundMemory): typeof Http2ServerRequest {
  return class RpcRequest extends Http2ServerRequest {
    override async *[Symbol.asyncIterator](): AsyncGenerator<Buffer, undefined> {
      checkFormat(this.headers);
      const isUnary = this.headers['content-type'] === unaryType;
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

/** Throws unless the messages are in a form in which their memory can be bounded before they are decoded. */
function checkFormat(headers: IncomingHttpHeaders): void {
  const type = headers['content-type'] ?? '';
  const isCompressed = compressionHeaders.some((name) => {
    return (headers[name] ?? uncompressed) !== uncompressed;
  });
  if (isCompressed || (type !== unaryType && !streamTypes.has(type))) {
    throw new ConnectError('messages must be binary and not compressed', Code.Unimplemented);
  }
}

/** Throws if there is no memory for so many bytes. */
function growTo(hold: InboundHold | undefined, bytes: number): void {
  if (hold === undefined || (bytes > hold.bytes && !hold.reserve(bytes - hold.bytes))) {
    throw new ConnectError('the memory for requests is taken', Code.ResourceExhausted);
  }
}
