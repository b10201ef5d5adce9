import { deflateRawSync, inflateRawSync } from 'node:zlib';

import type { RoutingDocument } from './schema.js';

/**
 * Packed routing documents: compressed JSON, as stored in the log and sent to other hosts. Routes differ in little, so a packed document
 * has about a tenth of the size. Unpacked, a document of 1,400 routes held up the heartbeats of a leader that sent it to five followers
 * for longer than the election timeout.
 */

/** The fastest level; a higher one saves little on routes and takes several times as long. */
const compressionLevel = 1;

/** Longer texts are refused, so that a small packed text cannot use up the memory of a host. */
const maximumTextBytes = 64 * 1024 * 1024;

/** A compressed document. The operator's source text is separate, because watchers do not need it. */
export interface PackedDocument {
  /** The document without its source, as base64. */
  readonly body: string;
  /** The source, as base64. */
  readonly source: string;
}

const packedDocuments = new WeakMap<RoutingDocument, PackedDocument>();
/** A host unpacks the same text when it receives a document and when it applies it. */
let latestUnpacked:
  { readonly packed: PackedDocument; readonly document: RoutingDocument } | undefined;

/** The packed form of a document, computed once for each document object. */
export function packDocument(document: RoutingDocument): PackedDocument {
  const known = packedDocuments.get(document);
  if (known !== undefined) {
    return known;
  }
  const { source, ...body } = document;
  const packed = { body: compress(JSON.stringify(body)), source: compress(source) };
  packedDocuments.set(document, packed);
  return packed;
}

/** Throws if the text is not a packed document. Its content is not validated again: only validated documents are packed. */
export function unpackDocument(packed: PackedDocument): RoutingDocument {
  if (latestUnpacked !== undefined && isSamePacked(latestUnpacked.packed, packed)) {
    return latestUnpacked.document;
  }
  const body = unpackBody(packed.body) as Omit<RoutingDocument, 'source'>;
  const document: RoutingDocument = { ...body, source: decompress(packed.source) };
  packedDocuments.set(document, packed);
  latestUnpacked = { packed, document };
  return document;
}

/** The value of a packed body, which has no source; also of plain JSON, as sent by earlier versions. */
export function unpackBody(body: string): unknown {
  return JSON.parse(body.startsWith('{') ? body : decompress(body));
}

function isSamePacked(left: PackedDocument, right: PackedDocument): boolean {
  return left.body === right.body && left.source === right.source;
}

function compress(text: string): string {
  return deflateRawSync(text, { level: compressionLevel }).toString('base64');
}

function decompress(text: string): string {
  const options = { maxOutputLength: maximumTextBytes };
  return inflateRawSync(Buffer.from(text, 'base64'), options).toString();
}
