import { describe, expect, it } from 'vitest';

import {
  applyCommand,
  decodeSnapshot,
  encodeSnapshot,
  initialControlState,
  parseCommand,
  type Command,
  type ControlState,
} from '../../src/control/state/index.js';
import { createDocument } from '../routing/documents.js';

function applyAll(commands: readonly Command[]): ControlState {
  return commands.reduce(
    (state, command) => applyCommand(state, command).state,
    initialControlState,
  );
}

function putVersion(version: number, source: string): Command {
  return { type: 'putRouting', at: 0, document: createDocument({ version, source }) };
}

function announce(id: string, address: string, isDraining = false): Command {
  const instance = { id, service: 'desk', address, failureDomain: 'a', isDraining };
  return { type: 'recordInstances', at: 0, present: [instance], retired: [], silent: [] };
}

function placeGroup(name: string, hosts: readonly string[], basedOn: number): Command {
  const members = hosts.map((host) => ({
    host,
    instance: { id: `i-${host}` },
    address: `10.0.0.1:${hosts.indexOf(host) + 1}`,
  }));
  const group = { name, service: 'engines', model: 'small', members };
  return { type: 'planEngineGroups', at: 0, basedOn, place: [group], advance: [], remove: [] };
}

describe('routing documents in the replicated state', () => {
  it('keeps the highest version regardless of the order of arrival', () => {
    const state = applyAll([putVersion(3, 'three'), putVersion(7, 'seven'), putVersion(5, 'five')]);
    expect(state.routing.document?.source).toBe('seven');
  });

  it('answers an older version with the current one and changes nothing', () => {
    const before = applyAll([putVersion(7, 'seven')]);
    const { state, answer } = applyCommand(before, putVersion(5, 'five'));
    expect(answer).toEqual({ type: 'routed', version: 7 });
    expect(state.routing).toBe(before.routing);
  });

  it('ignores different content under the current version', () => {
    const state = applyAll([putVersion(7, 'seven'), putVersion(7, 'another seven')]);
    expect(state.routing.document?.source).toBe('seven');
  });

  it('is restored completely from a snapshot', () => {
    const state = applyAll([
      putVersion(7, 'seven'),
      announce('i-1', '10.0.0.1:1'),
      placeGroup('small/1', ['h1', 'h2'], 0),
      { type: 'recordInstances', at: 0, present: [], retired: [{ id: 'i-9' }], silent: [] },
    ]);
    expect(decodeSnapshot(encodeSnapshot(state))).toEqual(state);
  });

  it('reads a snapshot and commands that name instances by their ids alone', () => {
    const state = applyAll([putVersion(7, 'seven'), placeGroup('small/1', ['h1'], 0)]);
    const older = encodeSnapshot(state)
      .replace('"departed":[]', '"retired":["i-9"]')
      .replace('"instance":{"id":"i-h1"}', '"instance":"i-h1"');
    const read = decodeSnapshot(older);
    expect(read.routing.departed).toEqual([{ id: 'i-9', reason: 'left' }]);
    expect(read.routing.engineGroups).toEqual(state.routing.engineGroups);
    const command = { type: 'recordInstances', at: 0, present: [], retired: ['a'], silent: ['b'] };
    expect(parseCommand(JSON.stringify(command)).unwrap()).toMatchObject({
      retired: [{ id: 'a' }],
      silent: [{ id: 'b' }],
    });
  });

  it('reads a snapshot of a version without routing', () => {
    const older = JSON.parse(encodeSnapshot(initialControlState)) as Record<string, unknown>;
    delete older.routing;
    expect(decodeSnapshot(JSON.stringify(older))).toEqual(initialControlState);
  });
});

describe('instances in the replicated state', () => {
  /**
   * Guards against sending requests to a crashed instance. A heartbeat delayed by a network partition arrives after another
   * instance has registered at the same address; if it counted as new, it would evict the running instance.
   */
  it('does not add a replaced instance again', () => {
    const state = applyAll([
      announce('old', '10.0.0.1:1'),
      announce('new', '10.0.0.1:1'),
      announce('old', '10.0.0.1:1'),
    ]);
    expect([...state.routing.instances.keys()]).toEqual(['new']);
  });

  it('adds an instance again that was only silent', () => {
    const state = applyAll([
      announce('a', '10.0.0.1:1'),
      { type: 'recordInstances', at: 0, present: [], retired: [], silent: [{ id: 'a' }] },
      announce('a', '10.0.0.1:1'),
    ]);
    expect([...state.routing.instances.keys()]).toEqual(['a']);
  });
});

describe('engine groups in the replicated state', () => {
  it('gives each placement a higher fencing number', () => {
    const first = applyAll([placeGroup('small/1', ['h1', 'h2'], 0)]);
    const { engineGroupsIndex } = first.routing;
    const second = applyCommand(first, placeGroup('small/2', ['h3', 'h4'], engineGroupsIndex));
    const numbers = [...second.state.routing.engineGroups.values()].map((g) => g.fencingNumber);
    expect(numbers).toEqual([1, 2]);
  });

  it('refuses a host in two groups, and changes nothing', () => {
    const first = applyAll([placeGroup('small/1', ['h1', 'h2'], 0)]);
    const { engineGroupsIndex } = first.routing;
    const { state, answer } = applyCommand(
      first,
      placeGroup('small/2', ['h2', 'h3'], engineGroupsIndex),
    );
    expect(answer).toMatchObject({ type: 'refused', failure: { code: 'hostInTwoGroups' } });
    expect(state.routing).toBe(first.routing);
  });

  /**
   * Guards against placing one engine in two groups. A leader that does not know yet that it was deposed decides from an
   * older state, while the new leader has already placed the same engines.
   */
  it('refuses a decision based on an older state', () => {
    const first = applyAll([placeGroup('small/1', ['h1', 'h2'], 0)]);
    const { answer } = applyCommand(first, placeGroup('small/2', ['h3', 'h4'], 0));
    expect(answer).toMatchObject({ type: 'refused', failure: { code: 'stalePlacement' } });
  });

  it('frees engines and advances groups in one command', () => {
    const first = applyAll([placeGroup('small/1', ['h1', 'h2'], 0)]);
    const { engineGroupsIndex } = first.routing;
    const { state } = applyCommand(first, {
      type: 'planEngineGroups',
      at: 0,
      basedOn: engineGroupsIndex,
      place: [],
      advance: [{ name: 'small/1', phase: 'opening' }],
      remove: [],
    });
    expect(state.routing.engineGroups.get('small/1')?.phase).toBe('opening');
  });
});
