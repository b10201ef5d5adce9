import { create, type MessageInitShape } from '@bufbuild/protobuf';

import {
  WatchResponseSchema,
  type WatchResponse,
} from '../generated/pistachiospoke/v1/control_pb.js';
import type { Configuration, GroupName, Revision, WatchedGroup } from '../model/index.js';
import { encodeGroup, MessageQueue } from '../wire/index.js';

/** Sends the current state to every watcher: the full state first, then only changes. */

/** The state that watchers receive. */
export interface PublishedState {
  /** Log index of the state. */
  readonly index: number;
  readonly revision: Revision;
  readonly configuration: Configuration;
  readonly groups: ReadonlyMap<GroupName, WatchedGroup>;
}

/** A subscriber. */
export interface Watcher {
  readonly name: string;
  readonly kind: string;
  /** Highest revision that the watcher had when it connected. */
  readonly revision: Revision;
}

type WatchEventInit = NonNullable<MessageInitShape<typeof WatchResponseSchema>['event']>;

interface Subscription {
  readonly watcher: Watcher;
  readonly queue: MessageQueue<WatchResponse>;
}

/** Maximum number of messages queued for one watcher; beyond it the watcher is disconnected and has to reconnect. */
const queueCapacity = 5000;

/** All watch subscriptions of one control host. */
export class WatchHub {
  readonly #subscriptions = new Set<Subscription>();
  #published: PublishedState;

  constructor(initial: PublishedState) {
    this.#published = initial;
  }

  /** Sends the differences from the last published state. */
  publish(state: PublishedState): void {
    const events = listChanges(this.#published, state);
    this.#published = state;
    if (events.length === 0) {
      return;
    }
    const messages = events.map((event) => encodeEvent(state.index, event));
    for (const subscription of this.#subscriptions) {
      for (const message of messages) {
        subscription.queue.push(message);
      }
    }
  }

  /** Advances the log index when nothing that watchers receive has changed. */
  advanceIndex(index: number): void {
    this.#published = { ...this.#published, index };
  }

  /** Tells watchers that this control host is alive, and whether it is up to date with a quorum. */
  sendHeartbeat(isFresh: boolean): void {
    const message = encodeEvent(this.#published.index, {
      case: 'heartbeat',
      value: { fresh: isFresh },
    });
    for (const { queue } of this.#subscriptions) {
      queue.push(message);
    }
  }

  /** Opens a watch; its queue starts with the full state. */
  subscribe(watcher: Watcher): MessageQueue<WatchResponse> {
    const queue = new MessageQueue<WatchResponse>(queueCapacity);
    const subscription = { watcher, queue };
    for (const event of listFullState(this.#published, watcher.revision)) {
      queue.push(encodeEvent(this.#published.index, event));
    }
    this.#subscriptions.add(subscription);
    return queue;
  }

  /** Ends a watch. */
  unsubscribe(queue: MessageQueue<WatchResponse>): void {
    queue.close();
    for (const subscription of this.#subscriptions) {
      if (subscription.queue === queue) {
        this.#subscriptions.delete(subscription);
      }
    }
  }

  /** Names of the watchers of one kind. */
  listWatchers(kind: string): readonly string[] {
    return [...this.#subscriptions]
      .filter(({ watcher }) => watcher.kind === kind)
      .map(({ watcher }) => watcher.name);
  }

  /** Ends all watches. */
  close(): void {
    for (const { queue } of this.#subscriptions) {
      queue.close();
    }
    this.#subscriptions.clear();
  }
}

function listFullState(state: PublishedState, knownRevision: Revision): readonly WatchEventInit[] {
  const events: WatchEventInit[] = [];
  if (state.revision !== knownRevision) {
    events.push(describeConfiguration(state));
  }
  for (const group of state.groups.values()) {
    events.push({ case: 'group', value: encodeGroup(group) });
  }
  events.push({ case: 'synchronized', value: {} });
  return events;
}

function listChanges(before: PublishedState, after: PublishedState): readonly WatchEventInit[] {
  const events: WatchEventInit[] = [];
  if (before.revision !== after.revision) {
    events.push(describeConfiguration(after));
  }
  for (const [name, group] of after.groups) {
    const known = before.groups.get(name);
    if (known?.group !== group.group || known.isServing !== group.isServing) {
      events.push({ case: 'group', value: encodeGroup(group) });
    }
  }
  for (const name of before.groups.keys()) {
    if (!after.groups.has(name)) {
      events.push({ case: 'groupRemoved', value: { name } });
    }
  }
  return events;
}

function describeConfiguration(state: PublishedState): WatchEventInit {
  const document = JSON.stringify(state.configuration);
  return { case: 'configuration', value: { revision: BigInt(state.revision), document } };
}

function encodeEvent(index: number, event: WatchEventInit): WatchResponse {
  return create(WatchResponseSchema, { index: BigInt(index), event });
}
