import type { CreateRequest } from '../../bench/requests/fake-gateway.js';
import type { CreateAttempts } from '../../bench/requests/fake-sidecar.js';
import {
  RequestController,
  type RequestEffect,
  type RequestEvent,
} from '../../src/gateway/index.js';
import { formatAttemptName } from '../../src/model/index.js';
import { AttemptController } from '../../src/sidecar/attempts/index.js';
import type { Invariant } from './history.js';

/** A deliberately wrong variant of one decision, and the invariant that it violates. */
export interface Mutant {
  readonly name: string;
  readonly breaks: Invariant;
  readonly createRequest?: CreateRequest;
  readonly createAttempts?: CreateAttempts;
}

/** Treats events of an earlier attempt's stream as events of the current one. */
const ignoresStreams = changeRequest((event, progress) =>
  'stream' in event && event.type === 'data'
    ? { ...event, stream: progress.stream, offset: progress.bytes }
    : event,
);

/** Treats the end of the connection as the end of the answer. */
const treatsCloseAsEnd = changeRequest((event, progress) =>
  event.type === 'closed' && event.wasSent
    ? { ...event, type: 'ended', totalBytes: progress.bytes, code: 'ok', retryAfter: 0 }
    : event,
);

/** Treats a failed query of the attempt state as "never seen". */
const treatsAskFailureAsNeverSeen = changeRequest((event) =>
  event.type === 'askFailed'
    ? { ...event, type: 'askAnswered', state: { type: 'neverSeen' } }
    : event,
);

/** Treats the refusal of a duplicate as a refusal of the attempt. */
const treatsDuplicateAsRefusal = changeRequest((event) =>
  event.type === 'refused' && event.refusal.code === 'duplicateAttempt'
    ? { ...event, refusal: { ...event.refusal, code: 'overloaded' } }
    : event,
);

/** Answers "never seen" without leaving a tombstone. */
const leavesNoTombstone: CreateAttempts = (incarnation) => {
  const attempts = new AttemptController(incarnation);
  const seen = new Set<string>();
  return {
    handle: (event) => {
      if (event.type === 'arrived') {
        seen.add(formatAttemptName(event.order.name));
      }
      const isUnknown = event.type === 'asked' && !seen.has(formatAttemptName(event.name));
      return isUnknown
        ? [{ type: 'answerAsk', question: event.question, state: { type: 'neverSeen' } }]
        : attempts.handle(event);
    },
  };
};

/** Runs every copy of an attempt instead of rejecting duplicates. */
const runsCopies: CreateAttempts = (incarnation) => {
  const attempts = new AttemptController(incarnation);
  const copies = new Map<string, number>();
  return {
    handle: (event) => {
      if (event.type !== 'arrived') {
        return attempts.handle(event);
      }
      const { order } = event;
      const key = formatAttemptName(order.name);
      const copy = copies.get(key) ?? 0;
      copies.set(key, copy + 1);
      if (copy === 0) {
        return attempts.handle(event);
      }
      return [...attempts.handle(event), { type: 'startUpstream', key }];
    },
  };
};

/** Mutants that together violate every invariant except `oneFinalAnswer`. */
export const mutants: readonly Mutant[] = [
  { name: 'ignores stream numbers', breaks: 'ownAnswer', createRequest: ignoresStreams },
  {
    name: 'treats a closed connection as the end',
    breaks: 'wholeAnswer',
    createRequest: treatsCloseAsEnd,
  },
  {
    name: 'treats a duplicate as a refusal',
    breaks: 'trueNotRun',
    createRequest: treatsDuplicateAsRefusal,
  },
  { name: 'leaves no tombstone', breaks: 'trueNotRun', createAttempts: leavesNoTombstone },
  {
    name: 'treats a failed query as never seen',
    breaks: 'atMostOnce',
    createRequest: treatsAskFailureAsNeverSeen,
  },
  { name: 'runs copies', breaks: 'atMostOnce', createAttempts: runsCopies },
];

interface StreamProgress {
  readonly stream: number;
  readonly bytes: number;
}

/** Modifies the events of a request before the real controller handles them. */
function changeRequest(
  change: (event: RequestEvent, progress: StreamProgress) => RequestEvent,
): CreateRequest {
  return (facts, dependencies) => {
    const request = new RequestController(facts, dependencies);
    let stream = 0;
    let bytes = 0;
    return {
      handle: (event): readonly RequestEffect[] => {
        const changed = change(event, { stream, bytes });
        if (changed.type === 'data' && changed.stream === stream) {
          bytes = Math.max(bytes, changed.offset + changed.bytes.length);
        }
        const effects = request.handle(changed);
        for (const effect of effects) {
          if (effect.type === 'run') {
            bytes = 0;
          }
          stream = 'stream' in effect && effect.type !== 'dropStream' ? effect.stream : stream;
        }
        return effects;
      },
    };
  };
}
