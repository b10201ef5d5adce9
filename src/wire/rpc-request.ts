import type { IncomingHttpHeaders } from 'node:http';
import { Http2ServerRequest } from 'node:http2';

import type { DescMessage } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';

import type { InboundHold, InboundMemory } from '../common/index.js';
import { EntryCounter } from './entry-counter.js';
import { MessageSizes, type MessageListener } from './message-sizes.js';

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
/** What a piece takes beside its bytes. */
const pieceBytes = 256;
/** Pieces of a message that has not arrived; processes of the system send some thousands. */
const maximumPieces = 16 * 1024;
/** Entries of lists and fields in one message. A report of all hosts has some ten thousand. */
const maximumEntries = 100_000;

/** Finds what the messages of a call consist of, by its path. */
export type FindMessage = (path: string) => DescMessage | undefined;

/** Creates the class of the requests of one server. */
export function createRpcRequestClass(
  memory: InboundMemory,
  findMessage: FindMessage,
): typeof Http2ServerRequest {
  return class RpcRequest extends Http2ServerRequest {
    override async *[Symbol.asyncIterator](): AsyncGenerator<Buffer, undefined> {
      checkFormat(this.headers);
      const isUnary = this.headers['content-type'] === unaryType;
      const [path = ''] = this.url.split('?');
      const message = findMessage(path);
      if (message === undefined) {
        throw new ConnectError('unknown call', Code.Unimplemented);
      }
      const sizes = new MessageSizes(isUnary, createEntryCheck(message));
      let hold: InboundHold | undefined;
      try {
        for await (const bytes of super[Symbol.asyncIterator]() as AsyncIterable<Buffer>) {
          sizes.push(bytes);
          if (sizes.incompleteBytes === 0) {
            hold?.release();
            hold = undefined;
            yield bytes;
          } else {
            hold ??= memory.open(() => {
              this.stream.destroy();
            });
            growTo(hold, sizes);
            hold?.noteReceived(bytes.length);
            yield detach(bytes);
          }
        }
      } finally {
        hold?.release();
      }
      return undefined;
    }
  };
}

/** Throws once a message consists of too much, or is none. */
function createEntryCheck(message: DescMessage): MessageListener {
  let counter = new EntryCounter(message);
  return {
    onBegin: () => {
      counter = new EntryCounter(message);
    },
    onBytes: (bytes) => {
      countIn(counter, bytes);
      if (counter.count > maximumEntries) {
        throw new ConnectError('the message has too many entries', Code.ResourceExhausted);
      }
    },
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

function countIn(counter: EntryCounter, bytes: Buffer): void {
  try {
    counter.push(bytes);
  } catch (error) {
    throw ConnectError.from(error, Code.InvalidArgument);
  }
}

/** Copies a piece that is kept: it would keep all that was read with it. */
function detach(bytes: Buffer): Buffer {
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
}

/** Throws if there is no memory for what has arrived of a message. */
function growTo(
  hold: InboundHold | undefined,
  { incompleteBytes, incompletePieces }: MessageSizes,
): void {
  const bytes = incompleteBytes * copiesOfMessage + incompletePieces * pieceBytes;
  const isTaken = hold === undefined || (bytes > hold.bytes && !hold.reserve(bytes - hold.bytes));
  if (isTaken || incompletePieces > maximumPieces) {
    throw new ConnectError('the memory for requests is taken', Code.ResourceExhausted);
  }
}
