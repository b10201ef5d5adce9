import { describe, expect, it } from 'vitest';

import { RoutingHub } from '../../src/control/routing/index.js';
import {
  applyCommand,
  initialControlState,
  type Command,
  type ControlState,
} from '../../src/control/state/index.js';
import type { RoutingWatchResponse } from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { routingDocumentSchema, unpackBody } from '../../src/routing/index.js';
import {
  decodeRoutingEvents,
  RoutingStateTracker,
  type RoutingView,
} from '../../src/watch/index.js';
import type { MessageQueue } from '../../src/wire/index.js';
import { createDocument } from '../routing/documents.js';

const documentVersion = routingDocumentSchema.unwrap().pick({ version: true }).loose();

const status = { isFresh: true, leader: '10.0.0.1:1', voters: ['10.0.0.1:1'] };

function apply(state: ControlState, command: Command): ControlState {
  return applyCommand(state, command).state;
}

function putVersion(version: number): Command {
  return { type: 'putRouting', at: 0, document: createDocument({ version, source: 'a secret' }) };
}

function announce(id: string): Command {
  const instance = {
    id,
    service: 'desk',
    address: `10.0.0.1:${id.length}`,
    failureDomain: 'a',
    isDraining: false,
  };
  return { type: 'recordInstances', at: 0, present: [instance], retired: [], silent: [] };
}

function placeGroup(name: string, host: string): Command {
  const members = [{ host, instance: { id: `i-${host}` }, address: '10.0.0.1:1' }];
  const place = [{ name, service: 'engines', model: 'large', members }];
  return { type: 'planEngineGroups', at: 0, basedOn: 100, place, advance: [], remove: [] };
}

function removeGroups(remove: readonly string[]): Command {
  return {
    type: 'planEngineGroups',
    at: 0,
    basedOn: 100,
    place: [],
    advance: [],
    remove: [...remove],
  };
}

async function readAll(queue: MessageQueue<RoutingWatchResponse>): Promise<readonly string[]> {
  queue.close();
  const cases: string[] = [];
  for await (const { event } of queue) {
    // A batch message contains several events.
    const told = event.case === 'batch' ? event.value.events : [{ event }];
    cases.push(...told.map((each) => each.event.case ?? ''));
  }
  return cases;
}

function orderEvacuation(action: 'start' | 'end', failureDomain: string): Command {
  const stamp = action === 'start' ? 0 : 1;
  return { type: 'setEvacuation', at: 0, failureDomain, action, stamp };
}

/** The last state of a watcher that has received all messages of the queue. */
async function readView(queue: MessageQueue<RoutingWatchResponse>): Promise<RoutingView> {
  queue.close();
  const tracker = new RoutingStateTracker();
  tracker.handle({ type: 'connected' });
  for await (const response of queue) {
    decodeRoutingEvents(response, 0).forEach((event) => tracker.handle(event));
  }
  return tracker.read();
}

describe('evacuations on routing watches', () => {
  // Guards against a restarted gateway that isn't told of an evacuation in force, and sends requests to the domain.
  it('are part of the initial state of a gateway', async () => {
    const hub = new RoutingHub();
    const state = apply(initialControlState, orderEvacuation('start', 'a'));
    hub.publish(state.index, state.routing);
    const view = await readView(hub.subscribe(0, status));
    expect(view.isSynchronized).toBe(true);
    expect([...view.evacuations.values()]).toEqual([{ failureDomain: 'a', startedAt: 0 }]);
  });

  // Guards against a gateway that isn't told of the start or the end of an evacuation while it watches.
  it('are sent to gateways when they start and end', async () => {
    const hub = new RoutingHub();
    const first = hub.subscribe(0, status);
    const second = hub.subscribe(0, status);
    const started = apply(
      apply(initialControlState, orderEvacuation('start', 'a')),
      orderEvacuation('start', 'b'),
    );
    hub.publish(started.index, started.routing);
    expect([...(await readView(first)).evacuations.keys()]).toEqual(['a', 'b']);
    const ended = apply(started, orderEvacuation('end', 'a'));
    hub.publish(ended.index, ended.routing);
    expect([...(await readView(second)).evacuations.keys()]).toEqual(['b']);
  });

  // Guards against waking hundreds of sidecars for changes that they have no use for.
  it('are not sent to sidecars', async () => {
    const hub = new RoutingHub();
    const queue = hub.subscribe(0, status, 'h-1');
    const state = apply(initialControlState, orderEvacuation('start', 'a'));
    hub.publish(state.index, state.routing);
    expect(await readAll(queue)).toEqual(['synchronized', 'sign']);
  });
});

describe('routing watches', () => {
  /**
   * Guards against a restarted gateway that refuses requests for half a second although it has the newest document. The status that
   * confirms the document arrived before it and was ignored; the next one follows half a second later.
   */
  it('begin with the full state, followed by the status that confirms it', async () => {
    const hub = new RoutingHub();
    const state = apply(apply(initialControlState, putVersion(3)), announce('i-1'));
    hub.publish(state.index, state.routing);
    expect(await readAll(hub.subscribe(0, status))).toEqual([
      'document',
      'instance',
      'synchronized',
      'sign',
    ]);
  });

  it('omit a document that the watcher already has', async () => {
    const hub = new RoutingHub();
    const state = apply(initialControlState, putVersion(3));
    hub.publish(state.index, state.routing);
    expect(await readAll(hub.subscribe(3, status))).toEqual(['synchronized', 'sign']);
  });

  // Guards against a new or reconnected gateway that sends a request which is already quarantined.
  it('send quarantined requests and their release to gateways, including those that connect later', async () => {
    const hub = new RoutingHub();
    const early = hub.subscribe(0, status);
    const sidecar = hub.subscribe(0, status, 'h1');
    let state = initialControlState;
    const change = (command: Command): void => {
      state = apply(state, command);
      hub.publish(state.index, state.routing);
    };
    for (const upstream of ['i-1', 'i-2', 'i-3']) {
      const crashes = [{ upstream, requests: ['a'] }];
      change({ type: 'noteCrashes', at: 0, crashes, answered: [] });
    }
    const late = hub.subscribe(0, status);
    change({ type: 'noteCrashes', at: 0, crashes: [], answered: ['a'] });
    const after = hub.subscribe(0, status);
    const begin = ['synchronized', 'sign'];
    expect(await readAll(early)).toEqual([...begin, 'requestQuarantined', 'requestReleased']);
    expect(await readAll(late)).toEqual(['requestQuarantined', ...begin, 'requestReleased']);
    expect(await readAll(after)).toEqual(begin);
    expect(await readAll(sidecar)).toEqual(begin);
  });

  it('send changes only, and nothing for a command that changed nothing', async () => {
    const hub = new RoutingHub();
    const first = apply(initialControlState, putVersion(3));
    hub.publish(first.index, first.routing);
    const queue = hub.subscribe(3, status);
    const second = apply(first, putVersion(2));
    hub.publish(second.index, second.routing);
    const third = apply(second, announce('i-1'));
    hub.publish(third.index, third.routing);
    expect(await readAll(queue)).toEqual(['synchronized', 'sign', 'instance']);
  });

  /**
   * Guards against forty sidecars decoding every new document and every group change, which took half of their processor time and more
   * traffic between failure domains than all requests.
   */
  it('send a sidecar only the groups of its own host', async () => {
    const hub = new RoutingHub();
    const placed = apply(apply(initialControlState, putVersion(3)), placeGroup('large/1', 'h1'));
    hub.publish(placed.index, placed.routing);
    const queue = hub.subscribe(0, status, 'h1');
    const other = apply(apply(placed, placeGroup('large/2', 'h2')), announce('i-1'));
    hub.publish(other.index, other.routing);
    const removed = apply(other, removeGroups(['large/1', 'large/2']));
    hub.publish(removed.index, removed.routing);
    const expected = ['engineGroup', 'synchronized', 'sign', 'engineGroupRemoved'];
    expect(await readAll(queue)).toEqual(expected);
  });

  /**
   * Guards against an acknowledged change that takes effect at gateways seconds late. With 1,400 routes a document takes 400 KB. In a
   * series of changes each document was sent whole, and the newest waited behind all those it replaced. The status that confirms the
   * state waited with them, and counted as new when it arrived.
   */
  it('send only the newest document and the newest status to a slow watcher', async () => {
    const hub = new RoutingHub();
    let state = apply(initialControlState, putVersion(3));
    hub.publish(state.index, state.routing);
    const queue = hub.subscribe(0, status);
    for (let version = 4; version <= 20; version += 1) {
      state = apply(state, putVersion(version));
      hub.publish(state.index, state.routing);
      hub.sendStatus({ ...status, leader: `10.0.0.1:${version}` });
    }
    queue.close();
    const told: string[] = [];
    for await (const { event } of queue) {
      if (event.case === 'document') {
        const { version } = documentVersion.parse(unpackBody(event.value));
        told.push(`document ${version}`);
      } else if (event.case === 'sign') {
        told.push(`sign ${event.value.leader}`);
      } else {
        told.push(event.case ?? '');
      }
    }
    expect(told).toEqual(['document 3', 'synchronized', 'document 20', 'sign 10.0.0.1:20']);
  });

  // Guards against a gateway that never learns that its first state may lack acknowledged changes, because it reads slowly.
  it('send a slow watcher that its first state is not confirmed before a later status', async () => {
    const hub = new RoutingHub();
    const queue = hub.subscribe(0, { ...status, isFresh: false });
    hub.sendStatus(status);
    queue.close();
    const confirmations: boolean[] = [];
    for await (const { event } of queue) {
      if (event.case === 'sign') {
        confirmations.push(event.value.fresh);
      }
    }
    expect(confirmations).toEqual([false, true]);
  });

  // Guards against a leader change after startup. Tens of gateways connect at once while hundreds of instances announce themselves.
  // Each instance was sent to each gateway as a separate message, which left the leader no time for its heartbeats.
  it('send many instances in one message', async () => {
    const hub = new RoutingHub();
    const ids = Array.from({ length: 400 }, (_, index) => 'i'.repeat(index + 1));
    const half = ids
      .slice(0, 200)
      .reduce((known, id) => apply(known, announce(id)), apply(initialControlState, putVersion(3)));
    hub.publish(half.index, half.routing);
    const queue = hub.subscribe(3, status);
    const whole = ids.slice(200).reduce((known, id) => apply(known, announce(id)), half);
    hub.publish(whole.index, whole.routing);
    queue.close();
    const told: string[] = [];
    const counts: number[] = [];
    for await (const { event } of queue) {
      told.push(event.case ?? '');
      counts.push(event.case === 'batch' ? event.value.events.length : 1);
    }
    expect(told).toEqual(['batch', 'synchronized', 'sign', 'batch']);
    expect(counts).toEqual([200, 1, 1, 200]);
  });

  it("do not carry the operator's text", async () => {
    const hub = new RoutingHub();
    const state = apply(initialControlState, putVersion(3));
    hub.publish(state.index, state.routing);
    const queue = hub.subscribe(0, status);
    queue.close();
    for await (const { event } of queue) {
      expect(JSON.stringify(event.value, stringifyBigints)).not.toContain('a secret');
    }
  });
});

/** JSON cannot represent bigint values. */
function stringifyBigints(_: string, value: unknown): unknown {
  return typeof value === 'bigint' ? value.toString() : value;
}
