import { create, type MessageInitShape } from '@bufbuild/protobuf';

import {
  RoutingWatchResponseSchema,
  type RoutingWatchResponse,
} from '../../generated/pistachiospoke/v1/routing_pb.js';
import type { EngineGroup, Instance } from '../../routing/index.js';
import { MessageQueue } from '../../wire/index.js';
import { initialRoutingState, type RoutingState } from '../state/index.js';

/** Sends the routing state to every watcher: the whole of it once, then changes only. */

/** Messages queued for one watcher before it is cut off and has to connect again. */
const queueCapacity = 5000;

/** What a control host says of itself to its watchers. */
export interface ControlSign {
  /** Whether it was up to date with a quorum lately. */
  readonly isFresh: boolean;
  /** `ip:port` of the leader; empty while there is none. */
  readonly leader: string;
  /** `ip:port` of every voter. */
  readonly voters: readonly string[];
}

type WatchEvent = NonNullable<MessageInitShape<typeof RoutingWatchResponseSchema>['event']>;

/** All routing watches of one control host. */
export class RoutingHub {
  readonly #queues = new Set<MessageQueue<RoutingWatchResponse>>();
  #published: RoutingState = initialRoutingState;
  #index = 0;

  /** Sends what differs from the last published state. */
  publish(index: number, state: RoutingState): void {
    const events = listChanges(this.#published, state);
    this.#published = state;
    this.#index = index;
    this.#send(events);
  }

  sendSign(sign: ControlSign): void {
    this.#send([describeSign(sign)]);
  }

  /** Opens a watch; the queue starts with the whole state, and the sign that vouches for it. */
  subscribe(knownVersion: number, sign: ControlSign): MessageQueue<RoutingWatchResponse> {
    const queue = new MessageQueue<RoutingWatchResponse>(queueCapacity);
    for (const event of [...listWholeState(this.#published, knownVersion), describeSign(sign)]) {
      queue.push(encodeEvent(this.#index, event));
    }
    this.#queues.add(queue);
    return queue;
  }

  unsubscribe(queue: MessageQueue<RoutingWatchResponse>): void {
    queue.close();
    this.#queues.delete(queue);
  }

  /** Ends all watches. */
  close(): void {
    for (const queue of this.#queues) {
      queue.close();
    }
    this.#queues.clear();
  }

  #send(events: readonly WatchEvent[]): void {
    for (const event of events) {
      // One message for all: it is encoded once for each watcher only when it is written.
      const message = encodeEvent(this.#index, event);
      for (const queue of this.#queues) {
        queue.push(message);
      }
    }
  }
}

function listWholeState(state: RoutingState, knownVersion: number): readonly WatchEvent[] {
  const version = state.document?.version ?? 0;
  return [
    ...(version > knownVersion ? describeDocument(state) : []),
    ...[...state.instances.values()].map(describeInstance),
    ...[...state.engineGroups.values()].map(describeGroup),
    { case: 'synchronized', value: { version: BigInt(version) } },
  ];
}

function listChanges(before: RoutingState, after: RoutingState): readonly WatchEvent[] {
  return [
    ...(before.document === after.document ? [] : describeDocument(after)),
    ...listMapChanges(before.instances, after.instances, describeInstance, (id) => ({
      case: 'instanceRemoved',
      value: id,
    })),
    ...listMapChanges(before.engineGroups, after.engineGroups, describeGroup, (name) => ({
      case: 'engineGroupRemoved',
      value: name,
    })),
  ];
}

function listMapChanges<Item>(
  before: ReadonlyMap<string, Item>,
  after: ReadonlyMap<string, Item>,
  describe: (item: Item) => WatchEvent,
  describeRemoval: (key: string) => WatchEvent,
): readonly WatchEvent[] {
  if (before === after) {
    return [];
  }
  const removed = [...before.keys()].filter((key) => !after.has(key)).map(describeRemoval);
  const changed = [...after].filter(([key, item]) => before.get(key) !== item);
  return [...removed, ...changed.map(([, item]) => describe(item))];
}

function describeDocument({ document }: RoutingState): readonly WatchEvent[] {
  if (document === undefined) {
    return [];
  }
  // Watchers have no use for the operator's text, which is as large as the rest.
  return [{ case: 'document', value: JSON.stringify({ ...document, source: '' }) }];
}

function describeInstance(instance: Instance): WatchEvent {
  return { case: 'instance', value: JSON.stringify(instance) };
}

function describeGroup(group: EngineGroup): WatchEvent {
  return { case: 'engineGroup', value: JSON.stringify(group) };
}

function describeSign({ isFresh, leader, voters }: ControlSign): WatchEvent {
  return { case: 'sign', value: { fresh: isFresh, leader, voters: [...voters] } };
}

function encodeEvent(index: number, event: WatchEvent): RoutingWatchResponse {
  return create(RoutingWatchResponseSchema, { index: BigInt(index), event });
}
