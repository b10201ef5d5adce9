/** Sends one request on a connection of its own and tells how the connection ended, which decides whether an answer without a length is whole. */
import net from 'node:net';

/** Resolves with the status, the header fields, the body, and how the answer ended: `whole`, `broken` or `none`. */
export function send({ address, method = 'POST', path, headers, body = '', limit = 10_000 }) {
  const [host, port] = address.split(':');
  const fields = { ...headers, 'content-length': String(Buffer.byteLength(body)) };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return new Promise((resolve) => {
    const chunks = [];
    let error;
    const socket = net.connect({ host, port: Number(port) }, () => {
      socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
    });
    const timer = setTimeout(() => socket.destroy(new Error('no end in time')), limit);
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      if (isFinished(Buffer.concat(chunks).toString('latin1'))) {
        socket.end();
      }
    });
    socket.on('error', (reason) => {
      error = reason;
    });
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(describe(Buffer.concat(chunks).toString('latin1'), error));
    });
  });
}

function parse(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [first = '', ...rest] = text.slice(0, end).split('\r\n');
  const headers = Object.fromEntries(
    rest.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(first.split(' ')[1]), headers, rest: text.slice(end + 4) };
}

function findFraming({ headers }) {
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunked';
  }
  return headers['content-length'] === undefined ? 'none' : 'length';
}

/** Whether the answer is complete by its own framing. */
function isFinished(text) {
  const parsed = parse(text);
  if (parsed === undefined) {
    return false;
  }
  switch (findFraming(parsed)) {
    case 'chunked':
      return parsed.rest.endsWith('0\r\n\r\n');
    case 'length':
      return parsed.rest.length >= Number(parsed.headers['content-length']);
    default:
      return false;
  }
}

function describe(text, error) {
  const parsed = parse(text);
  if (parsed === undefined) {
    return { status: 0, headers: {}, body: '', ending: 'none', error: error?.code };
  }
  const framing = findFraming(parsed);
  // Without a length, an orderly end of the connection ends the answer; a reset breaks it off.
  const isWhole = framing === 'none' ? error === undefined : isFinished(text);
  const body = framing === 'chunked' ? decodeChunks(parsed.rest) : parsed.rest;
  const { status, headers } = parsed;
  return { status, headers, body, ending: isWhole ? 'whole' : 'broken', error: error?.code };
}

function decodeChunks(text) {
  let body = '';
  for (let at = 0; at < text.length;) {
    const lineEnd = text.indexOf('\r\n', at);
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    if (lineEnd < 0 || !(size > 0)) {
      break;
    }
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
  }
  return body;
}
