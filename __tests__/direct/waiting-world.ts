import type { Milliseconds } from '../../src/common/index.js';
import type { Target, TargetChoice } from '../../src/dispatch/index.js';
import {
  DeliveryController,
  QueuePlace,
  WaitingRequests,
  type ChoiceMode,
  type DeliveryEffect,
  type DeliveryEvent,
} from '../../src/gateway/direct/index.js';
import type { Route } from '../../src/routing/index.js';
import { engineProfile, streamRoute } from '../routing/documents.js';
import { createTarget } from './targets.js';

/** One gateway with the real controllers and queues, and groups that a test gives slots. No I/O; the test sets the time. */

/** What a test states about a request. */
export interface RequestFacts {
  readonly account?: string;
  readonly route?: Partial<Route>;
  readonly tokens?: number;
}

export class WaitingWorld {
  /** Free slots by group; a group without an entry does not exist. */
  readonly slots = new Map<string, number>();
  /** Requests in queues, as metrics count them. */
  queued = 0;
  readonly waiting = new WaitingRequests({
    noteQueued: () => {
      this.queued += 1;
    },
    noteUnqueued: () => {
      this.queued -= 1;
    },
    noteSlot: () => undefined,
    noteSlotRefused: () => undefined,
  });
  readonly log: string[] = [];
  readonly refusals = new Map<string, Milliseconds>();
  readonly #requests = new Map<string, WorldRequest>();
  now: Milliseconds = 0;

  arrive(id: string, facts: RequestFacts = {}): void {
    const request = new WorldRequest(this, id, facts);
    this.#requests.set(id, request);
    request.handle({ type: 'started', now: this.now });
  }

  /** Delivers an event of an upstream or caller to a request. */
  report(id: string, type: 'refused' | 'unreachable' | 'callerLeft' | 'broken'): void {
    this.#requests.get(id)?.handle({ type, now: this.now });
  }

  /** Changes the free slots of a group, and asks the queue. */
  free(group: string, slots: number): void {
    this.slots.set(group, slots);
    this.retry();
  }

  /** What the gateway does when slots may be free, and at its retry interval. */
  retry(): void {
    this.waiting.collect(() => {
      for (const request of this.#requests.values()) {
        request.retryUnqueued();
      }
    }, this.now);
  }

  advance(duration: Milliseconds): void {
    const step = 10;
    for (const end = this.now + duration; this.now < end;) {
      this.now += step;
      this.retry();
      for (const request of this.#requests.values()) {
        request.tick();
      }
    }
  }

  choose(tried: ReadonlySet<string>): TargetChoice {
    const groups = [...this.slots].filter(([group]) => !tried.has(group));
    const free = groups.find(([, slots]) => slots > 0);
    if (free !== undefined) {
      return { type: 'target', target: createTarget(free[0]) };
    }
    return groups.length === 0 ? { type: 'none' } : { type: 'full' };
  }

  occupy({ key }: Target): void {
    this.slots.set(key, (this.slots.get(key) ?? 0) - 1);
  }
}

class WorldRequest {
  readonly #world: WaitingWorld;
  readonly #id: string;
  readonly #controller: DeliveryController;
  readonly #place: QueuePlace;

  constructor(world: WaitingWorld, id: string, { account, route, tokens }: RequestFacts) {
    this.#world = world;
    this.#id = id;
    const times = { startedAt: world.now, deadline: world.now + 6000 };
    const choose = (tried: ReadonlySet<string>): TargetChoice => world.choose(tried);
    this.#place = new QueuePlace({
      request: {
        requestId: id,
        method: 'POST',
        path: '/draft/1',
        rawHeaders: [],
        body: Buffer.alloc(0),
        route: { ...streamRoute, ...route },
        service: { name: 'engines', maximumConnections: 100, engine: engineProfile },
        account: account === undefined ? undefined : { name: account, keys: [] },
        model: 'small',
        tokens: tokens === undefined ? undefined : { prompt: tokens, answer: 0 },
        promptSegments: [],
        resumeAfter: undefined,
        ...times,
      },
      waiting: world.waiting,
      choose,
      onChanged: () => {
        this.handle({ type: 'targetsChanged', now: world.now });
      },
      onRefused: ({ reason, retryAfter }) => {
        world.log.push(`${id} ${reason}`);
        this.handle({ type: 'slotRefused', now: world.now, retryAfter });
      },
    });
    this.#controller = new DeliveryController(
      { isRetryable: true, attempts: 2, ...times },
      {
        choose: (tried, now, mode) => this.#choose(tried, now, mode),
        isStillServing: () => true,
        isAvailable: () => true,
        isSent: () => true,
        spendRetry: () => true,
        assessCrashes: () => 'harmless',
      },
    );
  }

  handle(event: DeliveryEvent): void {
    for (const effect of this.#controller.handle(event)) {
      this.#execute(effect);
    }
    if (this.#controller.isOver || event.type === 'callerLeft') {
      this.#place.leave();
    }
    this.#place.settle(this.#world.now);
  }

  retryUnqueued(): void {
    if (this.#controller.isWaiting && !this.#place.isQueued) {
      this.handle({ type: 'targetsChanged', now: this.#world.now });
    }
  }

  tick(): void {
    this.handle({ type: 'ticked', now: this.#world.now });
  }

  #choose(tried: ReadonlySet<string>, now: Milliseconds, mode: ChoiceMode): TargetChoice {
    return mode.type === 'queued'
      ? this.#place.choose(tried, mode.refuseAt, now)
      : this.#world.choose(tried);
  }

  #execute(effect: DeliveryEffect): void {
    if (effect.type === 'send') {
      this.#world.log.push(`${this.#id} to ${effect.target.key}`);
      this.#world.occupy(effect.target);
    } else if (effect.type === 'fail') {
      this.#world.log.push(`${this.#id} failed: ${effect.failure.code}`);
      this.#world.refusals.set(this.#id, effect.failure.retryAfterMilliseconds ?? 0);
    }
  }
}
