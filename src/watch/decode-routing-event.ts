import { assertNever, type Milliseconds } from '../common/index.js';
import type { RoutingWatchResponse } from '../generated/pistachiospoke/v1/routing_pb.js';
import {
  engineGroupSchema,
  evacuationSchema,
  instanceSchema,
  routingDocumentSchema,
  unpackBody,
  type RoutingDocument,
} from '../routing/index.js';
import type { RoutingEvent } from './routing-state-tracker.js';

/** Decodes a message of a routing watch received at `now`. Ignores event types of later versions; throws when the content is invalid. */
export function decodeRoutingEvents(
  response: RoutingWatchResponse,
  now: Milliseconds,
): readonly RoutingEvent[] {
  if (response.event.case === 'batch') {
    return response.event.value.events.flatMap((event) => decodeRoutingEvents(event, now));
  }
  const event = decodeRoutingEvent(response, now);
  return event === undefined ? [] : [event];
}

function decodeRoutingEvent(
  { event, index: rawIndex }: RoutingWatchResponse,
  now: Milliseconds,
): RoutingEvent | undefined {
  const index = Number(rawIndex);
  switch (event.case) {
    case 'document':
      return { type: 'document', document: decodeDocument(event.value) };
    case 'instance':
      return { type: 'instance', index, instance: instanceSchema.parse(JSON.parse(event.value)) };
    case 'instanceRemoved':
      return { type: 'instanceRemoved', index, id: event.value };
    case 'engineGroup':
      return {
        type: 'engineGroup',
        index,
        group: engineGroupSchema.parse(JSON.parse(event.value)),
      };
    case 'engineGroupRemoved':
      return { type: 'engineGroupRemoved', index, name: event.value };
    case 'requestQuarantined':
      return { type: 'requestQuarantined', index, request: event.value };
    case 'requestReleased':
      return { type: 'requestReleased', index, request: event.value };
    case 'evacuation':
      return {
        type: 'evacuation',
        index,
        evacuation: evacuationSchema.parse(JSON.parse(event.value)),
      };
    case 'evacuationEnded':
      return { type: 'evacuationEnded', index, failureDomain: event.value };
    case 'synchronized':
      return { type: 'synchronized', index, version: Number(event.value.version) };
    case 'sign': {
      const { fresh, leader, voters } = event.value;
      return { type: 'sign', now, isFresh: fresh, leader, voters };
    }
    case 'batch':
    case undefined:
      return undefined;
    default:
      return assertNever(event);
  }
}

/** Control does not send the operator's source to watchers. */
const withoutSource = { source: '' };

function decodeDocument(body: string): RoutingDocument {
  const value = unpackBody(body);
  return routingDocumentSchema.parse(
    typeof value === 'object' ? { ...value, ...withoutSource } : value,
  );
}
