import type { Controller, Milliseconds, ResultCodeName } from '../../src/common/index.js';
import { createFailure } from '../../src/common/index.js';
import type {
  AttemptTarget,
  RequestEffect,
  RequestEvent,
  RequestFacts,
  RequestDependencies,
} from '../../src/gateway/index.js';
import { formatAttemptName, type AttemptOrder, type GroupName } from '../../src/model/index.js';
import type { AttemptEffect, AttemptEvent } from '../../src/sidecar/attempts/index.js';

const maximumAttempts = 3;
/** What a plain proxy waits for the first byte before it tries another upstream. */
const attemptTimeout: Milliseconds = 2000;

/**
 * A gateway as it is written first: forward, retry on any trouble, take the end of the connection for the end of the
 * answer, and call a request that got no answer "not run". The baseline of the differential test and the measurements.
 */
export class NaiveRequest implements Controller<RequestEvent, RequestEffect> {
  readonly #facts: RequestFacts;
  readonly #shared: RequestDependencies;
  readonly #tried = new Set<GroupName>();
  #target: AttemptTarget | undefined;
  #attempts = 0;
  #sentAt: Milliseconds = 0;
  #hasBytes = false;
  #isDone = false;

  constructor(facts: RequestFacts, surroundings: RequestDependencies) {
    this.#facts = facts;
    this.#shared = surroundings;
  }

  handle(event: RequestEvent): readonly RequestEffect[] {
    if (this.#isDone) {
      return [];
    }
    switch (event.type) {
      case 'arrived':
        return this.#send(event.now);
      case 'data':
        this.#hasBytes = true;
        return [{ type: 'answerBytes', bytes: event.bytes }];
      case 'ended':
      case 'closed':
        return this.#hasBytes ? this.#finish([{ type: 'answerEnd' }]) : this.#retry(event.now);
      case 'refused':
        return this.#retry(event.now);
      case 'tick':
        return this.#tick(event.now);
      case 'callerGone':
        return this.#fail('cancelled');
      case 'shutDown':
        return this.#fail('stopping');
      case 'claimAnswered':
      case 'accepted':
      case 'head':
      case 'keepAlive':
      case 'askAnswered':
      case 'askFailed':
      case 'callerSlow':
        return [];
    }
  }

  #tick(now: Milliseconds): readonly RequestEffect[] {
    if (now >= this.#facts.deadline) {
      return this.#fail('deadlineBeforeStart');
    }
    const isLate = !this.#hasBytes && now - this.#sentAt >= attemptTimeout;
    return isLate ? this.#retry(now) : [];
  }

  #retry(now: Milliseconds): readonly RequestEffect[] {
    return this.#attempts >= maximumAttempts ? this.#fail('overloaded') : this.#send(now);
  }

  #send(now: Milliseconds): readonly RequestEffect[] {
    const question = { ...this.#facts.route, affinityKey: this.#facts.id };
    const verdict = this.#shared.router.choose(question, this.#tried, now);
    if (verdict.type === 'none') {
      return this.#fail('overloaded');
    }
    this.#target = verdict.target;
    this.#tried.add(verdict.target.group);
    this.#attempts += 1;
    this.#sentAt = now;
    return [
      {
        type: 'run',
        stream: this.#attempts,
        attempt: this.#attempts,
        target: this.#target,
        configurationRevision: verdict.revision,
        remaining: this.#facts.deadline - now,
      },
    ];
  }

  #fail(code: ResultCodeName): readonly RequestEffect[] {
    const failure = createFailure(code, '', 1000);
    return this.#finish([{ type: 'answerFailure', failure, hasStarted: this.#hasBytes }]);
  }

  #finish(effects: readonly RequestEffect[]): readonly RequestEffect[] {
    this.#isDone = true;
    return effects;
  }
}

interface NaiveAttempt {
  readonly order: AttemptOrder;
  readonly subscriber: number;
  sent: number;
}

/** A sidecar without memory: it runs whatever comes, first come first served, as long as a slot is free. */
export class NaiveAttempts implements Controller<AttemptEvent, AttemptEffect> {
  readonly #running = new Map<string, NaiveAttempt>();
  #waiting: NaiveAttempt[] = [];
  #capacity = 1;

  handle(event: AttemptEvent): readonly AttemptEffect[] {
    switch (event.type) {
      case 'arrived':
        this.#capacity = event.group?.concurrency ?? 1;
        this.#waiting.push({ order: event.order, subscriber: event.subscriber, sent: 0 });
        return this.#startNext();
      case 'upstreamHead':
        return this.#send(event.key, {
          type: 'head',
          status: event.status,
          headers: event.headers,
        });
      case 'upstreamData':
        return this.#relay(event.key, event.bytes);
      case 'upstreamEnded':
        return this.#end(event.key);
      case 'asked':
        return [{ type: 'answerAsk', question: event.question, state: { type: 'neverSeen' } }];
      case 'resumed':
        return [{ type: 'closeSubscriber', subscriber: event.subscriber }];
      case 'confirmed':
      case 'cancelled':
      case 'subscriberGone':
      case 'tick':
      case 'drainStarted':
        return [];
    }
  }

  #startNext(): readonly AttemptEffect[] {
    const effects: AttemptEffect[] = [];
    while (this.#running.size < this.#capacity) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        break;
      }
      const key = formatAttemptName(next.order.name);
      this.#running.set(key, next);
      effects.push({ type: 'startUpstream', key });
    }
    return effects;
  }

  #relay(key: string, bytes: Uint8Array): readonly AttemptEffect[] {
    const attempt = this.#running.get(key);
    if (attempt === undefined) {
      return [];
    }
    const offset = attempt.sent;
    attempt.sent += bytes.length;
    return this.#send(key, { type: 'data', offset, bytes });
  }

  #send(
    key: string,
    message: Extract<AttemptEffect, { readonly type: 'send' }>['message'],
  ): readonly AttemptEffect[] {
    const attempt = this.#running.get(key);
    return attempt === undefined ? [] : [{ type: 'send', subscriber: attempt.subscriber, message }];
  }

  #end(key: string): readonly AttemptEffect[] {
    const attempt = this.#running.get(key);
    this.#running.delete(key);
    const closed: readonly AttemptEffect[] =
      attempt === undefined ? [] : [{ type: 'closeSubscriber', subscriber: attempt.subscriber }];
    return [...closed, ...this.#startNext()];
  }
}
