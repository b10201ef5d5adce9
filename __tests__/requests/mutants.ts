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

/** A deliberately wrong variant of one decision, and the promise that it breaks. */
export interface Mutant {
  readonly name: string;
  readonly breaks: Invariant;
  readonly createRequest?: CreateRequest;
  readonly createAttempts?: CreateAttempts;
}

/** Takes events of an earlier attempt's stream for events of the present one. */
const ignoresStreams = changeRequest((event, seen) =>
  'stream' in event && event.type === 'data'
    ? { ...event, stream: seen.stream, offset: seen.bytes }
    : event,
);

/** Takes the end of the connection for the end of the answer. */
const trustsClosing = changeRequest((event, seen) =>
  event.type === 'closed' && event.wasSent
    ? { ...event, type: 'ended', totalBytes: seen.bytes, code: 'ok', retryAfter: 0 }
    : event,
);

/** Takes an unanswered question for "never seen". */
const trustsSilence = changeRequest((event) =>
  event.type === 'askFailed'
    ? { ...event, type: 'askAnswered', state: { type: 'neverSeen' } }
    : event,
);

/** Takes the refusal of a second copy for a refusal of the attempt. */
const trustsDuplicates = changeRequest((event) =>
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

/** Runs every copy of an attempt: each arrival gets a name of its own. */
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

/** One mutant for each promise at least. */
export const mutants: readonly Mutant[] = [
  { name: 'ignores stream numbers', breaks: 'ownAnswer', createRequest: ignoresStreams },
  { name: 'trusts a closing', breaks: 'wholeAnswer', createRequest: trustsClosing },
  { name: 'trusts a duplicate refusal', breaks: 'trueNotRun', createRequest: trustsDuplicates },
  { name: 'leaves no tombstone', breaks: 'trueNotRun', createAttempts: leavesNoTombstone },
  { name: 'trusts silence', breaks: 'atMostOnce', createRequest: trustsSilence },
  { name: 'runs copies', breaks: 'atMostOnce', createAttempts: runsCopies },
];

interface Seen {
  readonly stream: number;
  readonly bytes: number;
}

/** A request whose events are changed before the real decisions see them. */
function changeRequest(change: (event: RequestEvent, seen: Seen) => RequestEvent): CreateRequest {
  return (facts, surroundings) => {
    const request = new RequestController(facts, surroundings);
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
