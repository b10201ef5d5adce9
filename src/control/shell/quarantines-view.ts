import { listQuarantined, parseSubject } from '../../routing/index.js';
import type { QuarantinesView, RoutingState } from '../state/index.js';

/** Describes the subjects that gateways do not send because upstreams crashed while they ran; free of I/O. */
export function createQuarantinesView({
  suspects,
}: Pick<RoutingState, 'suspects'>): QuarantinesView {
  const quarantined = listQuarantined(suspects);
  const known = [...suspects.values()].filter(({ request }) => quarantined.has(request));
  return {
    quarantines: known.map(({ request, upstreams, since, changedAt, trials = [] }) => ({
      subject: request,
      type: parseSubject(request).type,
      since: since ?? null,
      lastCrash: changedAt,
      upstreams,
      trials: trials.filter(({ isUnused }) => isUnused !== true).length,
    })),
  };
}
