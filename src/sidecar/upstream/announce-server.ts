import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import {
  closeServer,
  endAfterBody,
  findResultCode,
  formatFailure,
  guardServer,
  isBodyUnread,
  openServer,
  parseJson,
  receiveBody,
  type InboundMemory,
  type ManagedPart,
} from '../../common/index.js';
import { announcementSchema, type Announcement } from './announcement.js';

/** Receives announcements of the local upstream over HTTP, on an address of this host. */

const announcePath = '/announce';
const maximumBodyBytes = 64 * 1024;
/** The upstream beside a sidecar is its only client. */
const maximumConnections = 64;

/** Creates the server as a managed part. */
export function createAnnounceServer(
  address: string,
  memory: InboundMemory,
  onAnnouncement: (announcement: Announcement) => void,
): ManagedPart {
  const server = createServer((request, response) => {
    void handleRequest(request, response, memory, onAnnouncement);
  });
  guardServer(server, maximumConnections);
  return {
    name: `announce server ${address}`,
    open: () => openServer(server, address),
    close: () => closeServer(server),
  };
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  memory: InboundMemory,
  onAnnouncement: (announcement: Announcement) => void,
): Promise<void> {
  if (request.method !== 'POST' || request.url !== announcePath) {
    sendResponse(response, 404, `expected POST ${announcePath}`);
    return;
  }
  const body = await receiveBody(request, response, { memory, maximumBytes: maximumBodyBytes });
  if (body.err) {
    response.shouldKeepAlive = !isBodyUnread(request, body.val);
    sendResponse(response, findResultCode(body.val).httpStatus, formatFailure(body.val));
    return;
  }
  const parsed = announcementSchema.safeParse(parseJson(body.val.bytes.toString()));
  if (!parsed.success) {
    sendResponse(response, 400, parsed.error.message);
    return;
  }
  onAnnouncement(parsed.data);
  sendResponse(response, 200, 'announced');
}

function sendResponse(response: ServerResponse, status: number, message: string): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  endAfterBody(response, JSON.stringify({ message }));
}
