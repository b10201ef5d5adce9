const eventStreamType = 'text/event-stream';

/** Whether a content type is that of a stream of server-sent events; its parameters and the case of its letters do not matter. */
export function isEventStreamType(contentType: string | undefined): boolean {
  return contentType?.split(';')[0]?.trim().toLowerCase() === eventStreamType;
}
