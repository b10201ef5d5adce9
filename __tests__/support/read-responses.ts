/** The responses on a caller's connection, one after the other. */

export interface ReadResponse {
  readonly status: number;
  readonly body: string;
  /** Whether its framing says that it is complete. */
  readonly isWhole: boolean;
}

const headEnd = '\r\n\r\n';

/** Reads the text received on a connection; responses have a length or chunks. */
export function readResponses(received: string): readonly ReadResponse[] {
  const responses: ReadResponse[] = [];
  let rest = received;
  while (rest !== '') {
    const { response, after } = readFirst(rest);
    responses.push(response);
    rest = after;
  }
  return responses;
}

function readFirst(text: string): { readonly response: ReadResponse; readonly after: string } {
  const status = Number(text.slice(9, 12));
  const bodyStart = text.indexOf(headEnd) + headEnd.length;
  if (bodyStart < headEnd.length) {
    return { response: { status, body: '', isWhole: false }, after: '' };
  }
  const length = /^content-length: (\d+)\r$/im.exec(text.slice(0, bodyStart))?.[1];
  if (length === undefined) {
    return readChunks(status, text, bodyStart);
  }
  const end = bodyStart + Number(length);
  const isWhole = text.length >= end;
  return {
    response: { status, body: text.slice(bodyStart, end), isWhole },
    after: text.slice(end),
  };
}

function readChunks(
  status: number,
  text: string,
  bodyStart: number,
): { readonly response: ReadResponse; readonly after: string } {
  let body = '';
  let at = bodyStart;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    const size = lineEnd < 0 ? Number.NaN : Number.parseInt(text.slice(at, lineEnd), 16);
    const next = lineEnd + size + 2 * '\r\n'.length;
    if (Number.isNaN(size) || text.length < next) {
      return { response: { status, body, isWhole: false }, after: '' };
    }
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    if (size === 0) {
      return { response: { status, body, isWhole: true }, after: text.slice(next) };
    }
    at = next;
  }
}
