import { pino } from 'pino';
import { Ok } from 'ts-results';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { HostDirectory, type HostReport } from '../../src/control/index.js';
import { HostObserver } from '../../src/control/shell/host-observer.js';
import { PlacementLoop } from '../../src/control/shell/placement-loop.js';
import {
  initialControlState,
  type Command,
  type ControlState,
} from '../../src/control/state/index.js';
import { configure, createHosts, declare } from './fixtures.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** The hosts that a new leader places in groups, with these domains evacuated. */
async function listPlaced(...domains: readonly string[]): Promise<readonly string[]> {
  const evacuations = new Map(
    domains.map((failureDomain) => [failureDomain, { failureDomain, startedAt: 0 }]),
  );
  const state: ControlState = {
    ...initialControlState,
    configuration: configure([declare()]),
    routing: { ...initialControlState.routing, evacuations },
  };
  const clock = { monotonic: () => Date.now(), wall: () => Date.now() };
  const logger = pino({ level: 'silent' });
  const readPolicy = () => state.configuration.policy;
  const observer = new HostObserver({ clock, logger, readPolicy });
  const directory = new HostDirectory();
  const commands: Command[] = [];
  const loop = new PlacementLoop({
    log: {
      view: () => ({ type: 'leader', term: 1 }),
      staleness: () => 0,
      confirmRead: () => Promise.resolve(new Ok(0)),
      appliedIndex: () => 0,
      propose: () => Promise.resolve(new Ok({ type: 'planned' as const })),
    },
    submitter: {
      proposeLocally: (command) => {
        commands.push(command);
        return Promise.resolve(new Ok({ type: 'planned' as const }));
      },
    },
    directory,
    observer,
    readState: () => state,
    onPlacement: () => undefined,
    clock,
    logger,
  });
  loop.open();
  let sequence = 0;
  while (commands.length === 0 && sequence < 20) {
    sequence += 1;
    for (const { facts } of [...createHosts('bole', 4), ...createHosts('kality', 4)]) {
      const report: HostReport = {
        host: facts.host,
        incarnation: facts.incarnation,
        facts,
        configurationRevision: 0,
        groups: [],
        isDraining: false,
        isLeaving: false,
        sequence,
        factsSequence: sequence,
      };
      directory.record(report, Date.now());
      observer.handleReport(report, 'control-1');
    }
    await vi.advanceTimersByTimeAsync(500);
  }
  loop.close();
  // The state stays as it is, so that later decisions repeat the first one.
  const [first] = commands;
  return first?.type === 'placeGroups'
    ? first.place.flatMap(({ members }) => members.map(({ host }) => host))
    : [];
}

describe('the placement loop', () => {
  // Guards against groups that a leader forms in an evacuated domain because it plans from what the hosts announced alone.
  it('places no group in an evacuated failure domain', async () => {
    expect(await listPlaced()).toHaveLength(8);
    const placed = await listPlaced('bole');
    expect(placed).toEqual(['kality-1', 'kality-2', 'kality-3', 'kality-4']);
  });
});
