import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import type { RandomSource } from '../../../src/common/index.js';
import { formatEvents } from '../spoiled-stream.js';

/** What faulty upstreams do to a response as a whole. Times in milliseconds. */

/** A request whose response is faulty; the bytes after a response may also reach the next request on its connection. */
export interface FaultyResponse {
  /** Attempt id of the request. */
  readonly id: string;
  readonly form: FaultyForm;
}

export type FaultyForm = BesideForm | WholeForm;
/** Forms of what comes beside a response that may be sound. */
export type BesideForm = (typeof besideForms)[number];
/** Forms of responses that make up no stream. */
export type WholeForm = keyof typeof wholeForms;

interface WholeResponse {
  readonly response: ServerResponse;
  readonly id: string;
}

/** Whether the upstream has run the request. */
type WasRun = boolean;

export const besideForms = [
  'interim responses before the head',
  'bytes between two chunks',
  'trailers',
  'bytes after the end',
  'a second response',
  'a second response without an id',
  'a late refusal',
] as const;

const otherId = 'another:request';
const foreignEvents = formatEvents(1, 20, ' of no run');
const errorBody = JSON.stringify({ error: { name: 'ofUpstream', text: '.'.repeat(2000) } });
const jsonFields = { 'content-type': 'application/json' };
const longestLateness = 100;
/** More than a gateway takes of an error. */
const endlessWrites = 40;
const endlessWriteBytes = 64 * 1024;
const endlessInterval = 5;

const wholeForms = {
  'a stream without an id': ({ response, id }: WholeResponse): WasRun => {
    return sendForeignStream(response, { 'x-response-seal': `seal of ${id}` });
  },
  'a stream with the id of another request': ({ response }: WholeResponse): WasRun => {
    return sendForeignStream(response, { 'x-attempt-id': otherId, 'x-response-seal': 'seal' });
  },
  'a stream with two ids': ({ response, id }: WholeResponse): WasRun => {
    return sendForeignStream(response, {
      'x-attempt-id': [id, otherId],
      'x-response-seal': 'seal',
    });
  },
  'a stream without a receipt': ({ response, id }: WholeResponse): WasRun => {
    return sendForeignStream(response, { 'x-attempt-id': id });
  },
  'an error': ({ response, id }: WholeResponse): WasRun => {
    response.writeHead(500, { ...jsonFields, 'x-attempt-id': id }).end(errorBody);
    return true;
  },
  'a part of an error': ({ response, id }: WholeResponse): WasRun => {
    const length = Buffer.byteLength(errorBody);
    response.writeHead(500, { ...jsonFields, 'x-attempt-id': id, 'content-length': length });
    response.write(errorBody.slice(0, length / 2), () => response.destroy());
    return true;
  },
  'an error without end': ({ response, id }: WholeResponse): WasRun => {
    response.writeHead(502, { ...jsonFields, 'x-attempt-id': id });
    void writeEndlessly(response);
    return true;
  },
  'an error and a second response': ({ response, id }: WholeResponse): WasRun => {
    const { socket } = response;
    response.writeHead(500, { ...jsonFields, 'x-attempt-id': id }).end(errorBody);
    socket?.write(formatResponse(200, { 'x-attempt-id': id, 'x-response-seal': 'seal' }));
    return true;
  },
  'a refusal': ({ response, id }: WholeResponse): WasRun => {
    const fields = { ...jsonFields, 'x-attempt-id': id, 'x-not-executed': '1' };
    response.writeHead(503, fields).end(errorBody);
    return false;
  },
} as const;

const wholeFormNames = Object.keys(wholeForms) as WholeForm[];

export function drawWholeForm(random: RandomSource): WholeForm {
  return wholeFormNames[random.integerBelow(wholeFormNames.length)] ?? 'an error';
}

/** Answers a request in place of its stream. Returns whether the upstream has run it. */
export function answerFaultily(
  { headers }: IncomingMessage,
  response: ServerResponse,
  form: WholeForm,
): WasRun {
  response.removeHeader('x-attempt-id');
  response.removeHeader('x-response-seal');
  return wholeForms[form]({ response, id: String(headers['x-attempt-id']) });
}

/** Called before the head is sent. */
export function writeBeforeHead(socket: Socket, form: BesideForm | undefined): void {
  if (form === 'interim responses before the head') {
    socket.write('HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n');
  }
}

/** Called in the middle of the body. */
export function writeBetweenChunks(socket: Socket, form: BesideForm | undefined): void {
  if (form === 'bytes between two chunks') {
    socket.write('no chunk\r\n');
  }
}

/** Ends a response whose events have been written. */
export async function endResponse(
  response: ServerResponse,
  id: string,
  form: BesideForm | undefined,
  random: RandomSource,
): Promise<void> {
  const { socket } = response;
  if (form === 'trailers') {
    response.addTrailers({ 'x-response-seal': 'of no run', 'x-trailer': 'of no run' });
  }
  response.end();
  const bytes = formatAfterEnd(form, id);
  if (bytes !== '') {
    await pause(random.integerBelow(2) * random.integerBelow(longestLateness));
    socket?.write(bytes);
  }
}

function formatAfterEnd(form: BesideForm | undefined, id: string): string {
  const receipt = { 'x-response-seal': 'seal' };
  switch (form) {
    case 'bytes after the end':
      return foreignEvents;
    case 'a second response':
      return formatResponse(200, { ...receipt, 'x-attempt-id': id });
    case 'a second response without an id':
      return formatResponse(200, receipt);
    case 'a late refusal':
      return formatResponse(503, { 'x-attempt-id': id, 'x-not-executed': '1' });
    case 'interim responses before the head':
    case 'bytes between two chunks':
    case 'trailers':
    case undefined:
      return '';
  }
}

function sendForeignStream(response: ServerResponse, fields: OutgoingHttpHeaders): WasRun {
  response.writeHead(200, { 'content-type': 'text/event-stream', ...fields }).end(foreignEvents);
  return true;
}

/** A whole stream of foreign events, with a length. */
function formatResponse(status: number, fields: Readonly<Record<string, string>>): string {
  const all = { ...fields, 'content-type': 'text/event-stream' };
  const lines = Object.entries({ ...all, 'content-length': String(foreignEvents.length) }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status} Second\r\n${lines.join('')}\r\n${foreignEvents}`;
}

async function writeEndlessly(response: ServerResponse): Promise<void> {
  for (let count = 0; count < endlessWrites && !response.destroyed; count += 1) {
    response.write('x'.repeat(endlessWriteBytes));
    await pause(endlessInterval);
  }
  response.destroy();
}
