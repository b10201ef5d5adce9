import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { closeServer, openServer, type ManagedPart } from '../../common/index.js';
import { announcementSchema, type Announcement } from './announcement.js';

/** Takes announcements of the upstream beside the sidecar over HTTP, on an address of the host itself. */

const announcePath = '/announce';
const maximumBodyBytes = 64 * 1024;

/** The server as a managed part. */
export function createAnnounceServer(
  address: string,
  take: (announcement: Announcement) => void,
): ManagedPart {
  const server = createServer((request, response) => {
    void handleRequest(request, response, take);
  });
  return {
    name: `announce server ${address}`,
    open: () => openServer(server, address),
    close: () => closeServer(server),
  };
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  take: (announcement: Announcement) => void,
): Promise<void> {
  if (request.method !== 'POST' || request.url !== announcePath) {
    answer(response, 404, `expected POST ${announcePath}`);
    return;
  }
  try {
    const body = await readBody(request);
    const parsed = announcementSchema.safeParse(JSON.parse(body));
    if (!parsed.success) {
      answer(response, 400, parsed.error.message);
      return;
    }
    take(parsed.data);
    answer(response, 200, 'announced');
  } catch (error) {
    answer(response, 400, String(error));
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maximumBodyBytes) {
      throw new Error(`expected at most ${maximumBodyBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function answer(response: ServerResponse, status: number, message: string): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ message }));
}
