import type { MessageInitShape } from '@bufbuild/protobuf';

import {
  type UpstreamLimit as UpstreamLimitMessage,
  type UpstreamLimitSchema,
} from '../generated/pistachiospoke/v1/routing_pb.js';
import type { UpstreamLimit } from '../routing/index.js';

/** Conversion of upstream rate limits to and from their wire format. */

export function encodeUpstreamLimits(
  limits: readonly UpstreamLimit[],
): MessageInitShape<typeof UpstreamLimitSchema>[] {
  return limits.map(({ upstream, requestsPerSecond, age }) => {
    return requestsPerSecond === undefined
      ? { upstream, age }
      : { upstream, requestsPerSecond, age };
  });
}

export function decodeUpstreamLimits(
  messages: readonly UpstreamLimitMessage[],
): readonly UpstreamLimit[] {
  return messages.map(({ upstream, requestsPerSecond, age }) => ({
    upstream,
    requestsPerSecond,
    age,
  }));
}
