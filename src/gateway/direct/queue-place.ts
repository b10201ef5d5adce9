import type { Milliseconds } from '../../common/index.js';
import type { Target, TargetChoice } from '../../dispatch/index.js';
import type { ReceivedRequest } from './delivery-types.js';
import type { SlotRefusal, WaitingRequest, WaitingRequests } from './waiting-requests.js';

/** The place of one request among those that wait for a slot; performs no I/O. */

/** A token to write occupies an upstream about ten times as long as one to read. */
const workPerAnswerToken = 10;
/** Work of a request that does not state its tokens. Requests of plain services all have the same work. */
const defaultWork = 1;

export interface QueuePlaceOptions {
  readonly request: ReceivedRequest;
  readonly waiting: WaitingRequests;
  readonly choose: (tried: ReadonlySet<string>, now: Milliseconds) => TargetChoice;
  /** Called when the place has changed; the request then asks for a target again. */
  readonly onChanged: () => void;
  readonly onRefused: (refusal: SlotRefusal) => void;
}

export class QueuePlace {
  readonly #options: QueuePlaceOptions;
  readonly #id: string;
  #entry: WaitingRequest | undefined;
  #granted: Target | undefined;
  #isDispatchDue = false;
  /** Whether the request has not been counted among the work of its account. */
  #isFirst = true;

  constructor(options: QueuePlaceOptions) {
    this.#options = options;
    this.#id = options.waiting.createIdentifier();
  }

  get isQueued(): boolean {
    return this.#entry !== undefined;
  }

  /** Returns a target if the request is next; otherwise it waits for its turn, or for upstreams. */
  choose(tried: ReadonlySet<string>, refuseAt: Milliseconds, now: Milliseconds): TargetChoice {
    const { waiting, choose } = this.#options;
    const granted = this.#granted;
    if (granted !== undefined) {
      // Valid once: if the attempt fails right away, the request asks again.
      this.#granted = undefined;
      return { type: 'target', target: granted };
    }
    const choice = choose(tried, now);
    if (choice.type !== 'target' && choice.type !== 'full') {
      this.leave();
      return choice;
    }
    if (this.#entry !== undefined) {
      return { type: 'full' };
    }
    const entry = this.#createEntry(tried, refuseAt);
    if (choice.type === 'target' && waiting.isEmpty(entry.queue)) {
      waiting.pass(entry, now);
      return choice;
    }
    this.#entry = entry;
    this.#isDispatchDue = true;
    waiting.offer(entry, now);
    return { type: 'full' };
  }

  /** Gives out slots if the request has been queued since the last call. */
  settle(now: Milliseconds): void {
    if (this.#isDispatchDue) {
      this.#isDispatchDue = false;
      this.#options.waiting.dispatch(now);
    }
  }

  /** The request has ended, or needs no slot any more. */
  leave(): void {
    if (this.#entry !== undefined) {
      this.#options.waiting.withdraw(this.#entry);
      this.#entry = undefined;
    }
  }

  /** Records the time from sending the request to the first byte of its response. */
  noteStarted(time: Milliseconds): void {
    this.#options.waiting.noteStarted(this.#kind, time);
  }

  get #kind(): string {
    const { route, model } = this.#options.request;
    return `${route.name} ${model ?? ''}`;
  }

  #createEntry(tried: ReadonlySet<string>, refuseAt: Milliseconds): WaitingRequest {
    const { choose, request, onChanged, onRefused } = this.#options;
    const { route, service, account, model, tokens, startedAt, deadline } = request;
    const triedNow = new Set(tried);
    const isFirst = this.#isFirst;
    this.#isFirst = false;
    return {
      id: this.#id,
      queue: `${service.name} ${model ?? ''}`,
      kind: this.#kind,
      account: account?.name ?? '',
      route: route.name,
      priority: account?.priority ?? route.priority,
      work: tokens === undefined ? defaultWork : tokens.prompt + workPerAnswerToken * tokens.answer,
      arrivedAt: startedAt,
      objectiveAt: route.objective === undefined ? undefined : startedAt + route.objective,
      refuseAt,
      deadline,
      isFirst,
      tried: [...tried].sort().join(' '),
      choose: (now) => choose(triedNow, now),
      onGranted: (target) => {
        this.#entry = undefined;
        this.#granted = target;
        onChanged();
        this.#granted = undefined;
      },
      onRefused: (refusal) => {
        this.#entry = undefined;
        onRefused(refusal);
      },
      onNoUpstream: onChanged,
    };
  }
}
