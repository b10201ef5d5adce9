import { create, type MessageInitShape } from '@bufbuild/protobuf';

import {
  RoutingWatchResponseSchema,
  type RoutingWatchResponse,
} from '../../generated/pistachiospoke/v1/routing_pb.js';
import {
  listQuarantined,
  packDocument,
  type EngineGroup,
  type Evacuation,
  type Instance,
} from '../../routing/index.js';
import { MessageQueue } from '../../wire/index.js';
import { initialRoutingState, type RoutingState } from '../state/index.js';

/** Publishes the routing state to watchers: first the part that a watcher needs, then changes. */

/** Messages queued for one watcher before it is disconnected and has to reconnect. */
const queueCapacity = 5000;

/** Status of a control host, sent to its watchers. */
export interface ControlStatus {
  /** Whether it was recently up to date with a quorum. */
  readonly isFresh: boolean;
  /** `ip:port` of the leader; empty while there is none. */
  readonly leader: string;
  /** `ip:port` of every voter. */
  readonly voters: readonly string[];
}

type WatchEvent = NonNullable<MessageInitShape<typeof RoutingWatchResponseSchema>['event']>;

/**
 * Recipients of an event: all watchers, gateways only, or gateways and the listed hosts. A sidecar does not need documents, instances
 * or the groups of other hosts; receiving them took half of its processor time for decoding.
 */
type Audience = 'everyone' | 'gateways' | readonly string[];

interface Change {
  readonly event: WatchEvent;
  readonly audience: Audience;
}

interface EncodedChange extends Change {
  readonly message: RoutingWatchResponse;
}

/**
 * Whether only the latest event of this kind matters. A document is sent whole, and a status confirms everything sent before it. If
 * all of them were sent, a slow watcher would receive the newest only after all those it replaces.
 */
function isLatestOnly({ case: kind }: WatchEvent): boolean {
  return kind === 'document' || kind === 'sign';
}

/** Full state as sent to a new gateway watch; built once for all gateways. */
interface FullState {
  readonly state: RoutingState;
  readonly document: readonly Change[];
  readonly items: readonly Change[];
}

interface Watch {
  readonly queue: MessageQueue<RoutingWatchResponse>;
  /** Host of a sidecar; undefined for a gateway. */
  readonly host: string | undefined;
}

/** Manages all routing watches of one control host. */
export class RoutingHub {
  readonly #watches = new Map<MessageQueue<RoutingWatchResponse>, Watch>();
  #published: RoutingState = initialRoutingState;
  #index = 0;
  #fullState: FullState | undefined;

  /** Sends the differences from the last published state. */
  publish(index: number, state: RoutingState): void {
    const changes = listChanges(this.#published, state);
    this.#published = state;
    this.#index = index;
    this.#send(changes);
  }

  sendStatus(status: ControlStatus): void {
    this.#send([describeStatus(status)]);
  }

  /** Opens a watch. The queue starts with the full state, or that of one host, followed by the status that confirms it. */
  subscribe(
    knownVersion: number,
    status: ControlStatus,
    host?: string,
  ): MessageQueue<RoutingWatchResponse> {
    const watch = { queue: new MessageQueue<RoutingWatchResponse>(queueCapacity), host };
    for (const event of this.#listInitialEvents(watch, knownVersion)) {
      // The first document is queued without replacement: the state is complete only after the document that it refers to.
      watch.queue.push(encodeEvent(this.#index, event));
    }
    const { event } = describeStatus(status);
    const message = encodeEvent(this.#index, event);
    if (status.isFresh) {
      enqueue(watch.queue, event, message);
    } else {
      // Not replaceable: a later status would confirm a state that may lack acknowledged changes.
      watch.queue.push(message);
    }
    this.#watches.set(watch.queue, watch);
    return watch.queue;
  }

  unsubscribe(queue: MessageQueue<RoutingWatchResponse>): void {
    queue.close();
    this.#watches.delete(queue);
  }

  /** Ends all watches. */
  close(): void {
    for (const queue of this.#watches.keys()) {
      queue.close();
    }
    this.#watches.clear();
  }

  #listInitialEvents({ host }: Watch, knownVersion: number): readonly WatchEvent[] {
    const version = this.#published.document?.version ?? 0;
    const synchronized = { case: 'synchronized', value: { version: BigInt(version) } } as const;
    const { document, items } =
      host === undefined
        ? this.#describeFullState()
        : { document: [], items: describeGroupsOfHost(host, this.#published) };
    const changes = version > knownVersion ? [...document, ...items] : items;
    return [...changes.map(({ event }) => event), synchronized];
  }

  /** Cached, because all gateways connect within a second when a control host starts or becomes leader again. */
  #describeFullState(): FullState {
    if (this.#fullState?.state !== this.#published) {
      this.#fullState = {
        state: this.#published,
        document: describeDocument(this.#published),
        items: batchChanges(this.#index, describeItems(this.#published)),
      };
    }
    return this.#fullState;
  }

  #send(changes: readonly Change[]): void {
    const batched = batchChanges(this.#index, changes);
    // One message object is shared by all watchers; it is encoded for each of them only when it is written.
    const forGateways = batched.map((change) => this.#encode(change));
    const forSidecars = changes.map((change) => this.#encode(change));
    for (const watch of this.#watches.values()) {
      const messages = watch.host === undefined ? forGateways : forSidecars;
      for (const { event, audience, message } of messages) {
        if (isAddressedTo(audience, watch)) {
          enqueue(watch.queue, event, message);
        }
      }
    }
  }

  #encode(change: Change): EncodedChange {
    return { ...change, message: encodeEvent(this.#index, change.event) };
  }
}

/**
 * Batches the changes for gateways, which receive everything: all events except those of which only the latest matters go into one
 * message. Sending hundreds of instances as separate messages to each of tens of gateways takes a leader seconds.
 */
function batchChanges(index: number, changes: readonly Change[]): readonly Change[] {
  const items = changes.filter(({ event }) => !isLatestOnly(event));
  if (items.length < 2) {
    return changes;
  }
  const events = items.map(({ event }) => encodeEvent(index, event));
  const others = changes.filter(({ event }) => isLatestOnly(event));
  return [...others, { event: { case: 'batch', value: { events } }, audience: 'gateways' }];
}

function enqueue(
  queue: MessageQueue<RoutingWatchResponse>,
  event: WatchEvent,
  message: RoutingWatchResponse,
): void {
  if (isLatestOnly(event)) {
    queue.pushLatest(event.case ?? '', message);
  } else {
    queue.push(message);
  }
}

function isAddressedTo(audience: Audience, { host }: Watch): boolean {
  if (host === undefined || audience === 'everyone') {
    return true;
  }
  return audience !== 'gateways' && audience.includes(host);
}

/**
 * A sidecar receives no documents or instances; building them for each of hundreds of sidecars that connect at once would take a
 * leader seconds.
 */
function describeGroupsOfHost(host: string, { engineGroups }: RoutingState): readonly Change[] {
  return [...engineGroups.values()]
    .filter((group) => listHosts(group).includes(host))
    .map(describeGroup);
}

function describeItems(state: RoutingState): readonly Change[] {
  return [
    ...[...state.instances.values()].map(describeInstance),
    ...[...state.engineGroups.values()].map(describeGroup),
    ...[...state.evacuations.values()].map(describeEvacuation),
    ...[...listQuarantined(state.suspects)].map(describeQuarantined),
  ];
}

function listChanges(before: RoutingState, after: RoutingState): readonly Change[] {
  return [
    ...(before.document === after.document ? [] : describeDocument(after)),
    ...listMapChanges(before.instances, after.instances, describeInstance, ({ id }) => ({
      event: { case: 'instanceRemoved', value: id },
      audience: 'gateways',
    })),
    ...listMapChanges(before.engineGroups, after.engineGroups, describeGroup, (group) => ({
      event: { case: 'engineGroupRemoved', value: group.name },
      audience: listHosts(group),
    })),
    ...listMapChanges(before.evacuations, after.evacuations, describeEvacuation, (ended) => ({
      event: { case: 'evacuationEnded', value: ended.failureDomain },
      audience: 'gateways',
    })),
    ...listQuarantineChanges(before.suspects, after.suspects),
  ];
}

function listMapChanges<Item>(
  before: ReadonlyMap<string, Item>,
  after: ReadonlyMap<string, Item>,
  describe: (item: Item) => Change,
  describeRemoval: (item: Item) => Change,
): readonly Change[] {
  if (before === after) {
    return [];
  }
  const removed = [...before].filter(([key]) => !after.has(key));
  const changed = [...after].filter(([key, item]) => before.get(key) !== item);
  return [
    ...removed.map(([, item]) => describeRemoval(item)),
    ...changed.map(([, item]) => describe(item)),
  ];
}

function listQuarantineChanges(
  before: RoutingState['suspects'],
  after: RoutingState['suspects'],
): readonly Change[] {
  if (before === after) {
    return [];
  }
  const known = listQuarantined(before);
  const present = listQuarantined(after);
  const released = [...known].filter((request) => !present.has(request));
  const added = [...present].filter((request) => !known.has(request));
  return [
    ...released.map((request): Change => {
      return { event: { case: 'requestReleased', value: request }, audience: 'gateways' };
    }),
    ...added.map(describeQuarantined),
  ];
}

function describeQuarantined(request: string): Change {
  return { event: { case: 'requestQuarantined', value: request }, audience: 'gateways' };
}

function describeDocument({ document }: RoutingState): readonly Change[] {
  if (document === undefined) {
    return [];
  }
  // Watchers do not need the operator's source text, which is as large as the rest.
  const value = packDocument(document).body;
  return [{ event: { case: 'document', value }, audience: 'gateways' }];
}

function describeInstance(instance: Instance): Change {
  return {
    event: { case: 'instance', value: JSON.stringify(instance) },
    audience: 'gateways',
  };
}

function describeGroup(group: EngineGroup): Change {
  return {
    event: { case: 'engineGroup', value: JSON.stringify(group) },
    audience: listHosts(group),
  };
}

function describeEvacuation(evacuation: Evacuation): Change {
  return {
    event: { case: 'evacuation', value: JSON.stringify(evacuation) },
    audience: 'gateways',
  };
}

function listHosts({ members }: EngineGroup): readonly string[] {
  return members.map(({ host }) => host);
}

function describeStatus({ isFresh, leader, voters }: ControlStatus): Change {
  const value = { fresh: isFresh, leader, voters: [...voters] };
  return { event: { case: 'sign', value }, audience: 'everyone' };
}

function encodeEvent(index: number, event: WatchEvent): RoutingWatchResponse {
  return create(RoutingWatchResponseSchema, { index: BigInt(index), event });
}
