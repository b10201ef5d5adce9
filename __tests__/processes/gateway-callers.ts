/** Requests to a gateway as bytes, for callers that send them in parts or read slowly. */
import { connect } from 'node:net';

import {
  fleetKey,
  fleetModel,
  formatHead,
  waitFor,
  type Fleet,
  type OpenConnection,
  type RequestHead,
} from '../support/index.js';

export interface ChatText {
  readonly content: string;
  readonly isStreamed: boolean;
  readonly tokens: number;
}

/** The head of a request of the fleet's account. */
export function formatOwnHead(
  method: RequestHead['method'],
  path: string,
  fields: RequestHead['headers'] = {},
): string {
  const headers = { host: 'gateway', authorization: `Bearer ${fleetKey}`, ...fields };
  return formatHead({ method, path, headers });
}

/** A whole chat request, with a body of a length. */
export function formatChat({ content, isStreamed, tokens }: ChatText): string {
  const body = JSON.stringify({
    model: fleetModel,
    messages: [{ role: 'user', content }],
    stream: isStreamed,
    max_tokens: tokens,
  });
  const fields = { 'content-length': String(body.length) };
  return `${formatOwnHead('POST', '/v1/chat/completions', fields)}${body}`;
}

/** One chunk of a chunked body; that of an empty text is the last one. */
export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Reads until the text arrives; fails if the connection ends first. */
export async function waitForText(connection: OpenConnection, text: string): Promise<void> {
  await waitFor(`${JSON.stringify(text)} to be received`, () => {
    return connection.received.includes(text) || connection.isEnded;
  });
  if (!connection.received.includes(text)) {
    throw new Error(`ended after ${JSON.stringify(connection.received.slice(-1000))}`);
  }
}

/** Waits until the gateway accepts no more connections. */
export async function waitForClosedPort(fleet: Fleet): Promise<void> {
  const { port } = new URL(fleet.origin());
  await waitFor('the port to be closed', () => isRefused(Number(port)));
}

function isRefused(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.once('connect', () => {
      socket.destroy();
      resolve(false);
    });
    socket.once('error', () => {
      resolve(true);
    });
  });
}
