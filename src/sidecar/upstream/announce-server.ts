import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { closeServer, openServer, type ManagedPart } from '../../common/index.js';
import { announcementSchema, type Announcement } from './announcement.js';

/** Receives announcements of the local upstream over HTTP, on an address of this host. */

const announcePath = '/announce';
const maxBodyBytes = 64 * 1024;

/** Creates the server as a managed part. */
export function createAnnounceServer(
  address: string,
  onAnnouncement: (announcement: Announcement) => void,
): ManagedPart {
  const server = createServer((request, response) => {
    void handleRequest(request, response, onAnnouncement);
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
  onAnnouncement: (announcement: Announcement) => void,
): Promise<void> {
  if (request.method !== 'POST' || request.url !== announcePath) {
    sendResponse(response, 404, `expected POST ${announcePath}`);
    return;
  }
  try {
    const body = await readBody(request);
    const parsed = announcementSchema.safeParse(JSON.parse(body));
    if (!parsed.success) {
      sendResponse(response, 400, parsed.error.message);
      return;
    }
    onAnnouncement(parsed.data);
    sendResponse(response, 200, 'announced');
  } catch (error) {
    sendResponse(response, 400, String(error));
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxBodyBytes) {
      throw new Error(`expected at most ${maxBodyBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function sendResponse(response: ServerResponse, status: number, message: string): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ message }));
}
