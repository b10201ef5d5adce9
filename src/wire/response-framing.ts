/** What delimits the body of an HTTP/1.1 response (RFC 9112, section 6.3). */

const noContent = 204;
const notModified = 304;
/** Transfer codings that leave the bytes of a body as they are. */
const plainCodings: ReadonlySet<string> = new Set(['chunked', 'identity']);

/**
 * Whether the status and headers of a response delimit its body. Otherwise only the end of the connection does, and an upstream that
 * crashes in the middle of the body ends its connections too. `readHeader` takes a name in lower case and returns all values of the
 * field, separated by commas.
 */
export function isFramedResponse(
  status: number,
  readHeader: (name: string) => string | undefined,
): boolean {
  if (status === noContent || status === notModified) {
    return true;
  }
  const codings = readHeader('transfer-encoding');
  return codings === undefined
    ? readHeader('content-length') !== undefined
    : codings.split(',').at(-1)?.trim().toLowerCase() === 'chunked';
}

/**
 * Whether the body of a response is in no transfer coding but chunks. Nobody asks upstreams for others, and nobody decodes them: their bytes
 * would pass for the body itself. `codings`: the value of `Transfer-Encoding`, or all of them.
 */
export function isPlainBody(codings: string | readonly string[] | undefined): boolean {
  return codings === undefined || plainCodings.has(codings.toString().trim().toLowerCase());
}
