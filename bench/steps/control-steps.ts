/** Steps of a control host: placement, host health, the replicated state, what watchers are sent; and of a watcher. */
import {
  applyDecision,
  configure,
  createHosts,
  createInput,
  declare,
  serve,
  withAvailability,
} from '../../__tests__/placement/fixtures.js';
import { defaultHostHealthOptions, HostHealth } from '../../src/control/hosts/index.js';
import { ControlStateMachine, type Command } from '../../src/control/state/index.js';
import { WatchHub } from '../../src/control/watch-hub.js';
import { emptyConfiguration } from '../../src/configuration/index.js';
import type { WatchedState } from '../../src/model/index.js';
import { planPlacement, type PlacementInput } from '../../src/placement/index.js';
import { WatchedStateTracker } from '../../src/watch/index.js';
import { createLargeConfiguration } from '../capacity/fixtures.js';
import { createWatchedState } from './request-steps.js';
import { createStepRow, measureRepeatedly } from './step-meter.js';

const groupCount = 150;
const hostCount = 600;
const domains = ['bole', 'kality', 'merkato', 'giza', 'nasr', 'maadi'];
const claimTime = 1_000_000;

/** Every 250 ms on the leader: nothing to do, and one member lost. */
export function measurePlacementSteps(): readonly (readonly string[])[] {
  return [30, hostCount].flatMap((hosts) => {
    const quiet = createPlacedInput(hosts);
    const firstHost = quiet.hosts[0]?.facts.host ?? '';
    const groups = quiet.groups.map((placed) => ({ ...placed, health: undefined }));
    const lost = {
      ...quiet,
      hosts: withAvailability(quiet.hosts, firstHost, { type: 'gone' }),
      groups,
    };
    const repeats = hosts === hostCount ? 200 : 2000;
    return [
      createStepRow(
        `placement, ${hosts} hosts, all whole`,
        measureRepeatedly(repeats, () => planPlacement(quiet)),
        'four a second on the leader',
      ),
      createStepRow(
        `placement, ${hosts} hosts, one lost`,
        measureRepeatedly(repeats, () => planPlacement(lost)),
        'one a loss or return',
      ),
    ];
  });
}

/** A heartbeat of one of 600 hosts, and the regular look at all of them. */
export function measureHostHealthSteps(): readonly (readonly string[])[] {
  const health = new HostHealth(defaultHostHealthOptions, emptyConfiguration.policy);
  const report = (turn: number) =>
    health.handle({
      type: 'reported',
      now: turn * (1000 / hostCount),
      via: 'control-1',
      report: {
        host: `llm-host-${turn % hostCount}`,
        incarnation: 'one',
        region: 'addis',
        failureDomain: domains[turn % domains.length] ?? '',
        isHealthy: true,
        isLeaving: false,
      },
    });
  const repeats = 20_000;
  const heartbeats = measureRepeatedly(repeats, report);
  const now = (repeats * 1.1 * 1000) / hostCount;
  const looks = measureRepeatedly(2000, (turn) =>
    health.handle({ type: 'ticked', now: now + turn }),
  );
  return [
    createStepRow(`host health, heartbeat of one of ${hostCount}`, heartbeats, 'one a report'),
    createStepRow(`host health, look at all ${hostCount}`, looks, 'one a second'),
  ];
}

/** Commands as they come out of the log, text included. */
export function measureStateMachineSteps(): readonly (readonly string[])[] {
  const machine = new ControlStateMachine();
  let index = 0;
  const apply = (command: Command) => {
    index += 1;
    return machine.apply(index, JSON.stringify(command));
  };
  const claims = measureRepeatedly(50_000, (turn) => apply(createClaim(turn)));
  const document = createLargeConfiguration();
  const changes = measureRepeatedly(100, (turn) =>
    apply({
      type: 'applyConfiguration',
      changeId: `change-${turn}`,
      baseRevision: turn,
      operator: 'bench',
      at: claimTime,
      document,
    }),
  );
  const place = createPlacedInput(hostCount).groups.map(({ group }) => {
    const { name, declaration, members, offer, isDraining } = group;
    return { name, declaration, members, offer, isDraining };
  });
  const placements = measureRepeatedly(100, () =>
    apply({ type: 'placeGroups', at: claimTime, place, dissolve: [], basedOn: index }),
  );
  return [
    createStepRow('state machine, claim of a key', claims, 'two commands a claimed request'),
    createStepRow('state machine, configuration of 100 KB', changes, 'one a change'),
    createStepRow(`state machine, ${groupCount} groups placed at once`, placements),
  ];
}

/** What each report costs in publishing, and what a watcher does with an event. */
export function measureWatchSteps(): readonly (readonly string[])[] {
  const state = createWatchedState(groupCount);
  const hub = new WatchHub({ ...state, index: 1 });
  const publications = measureRepeatedly(5000, () => {
    hub.publish({ ...state, index: 1, groups: new Map(state.groups) });
  });
  const tracker = createTracker(state);
  const groups = [...state.groups.values()];
  const events = measureRepeatedly(5000, (turn) => {
    const group = groups[turn % groups.length];
    return group && tracker.handle({ type: 'group', index: turn + 2, group });
  });
  return [
    createStepRow(`watch hub, ${groupCount} groups, no change`, publications, 'one a report'),
    createStepRow(`watched state keeper, one of ${groupCount} groups`, events, 'one an event'),
  ];
}

function createTracker(state: WatchedState): WatchedStateTracker {
  const tracker = new WatchedStateTracker();
  tracker.handle({ type: 'connected' });
  for (const group of state.groups.values()) {
    tracker.handle({ type: 'group', index: 1, group });
  }
  tracker.handle({ type: 'synchronized', index: 1 });
  return tracker;
}

/** All hosts placed in groups of four that serve. */
function createPlacedInput(hosts: number): PlacementInput {
  const perDomain = Math.floor(hosts / domains.length);
  const input = createInput({
    configuration: configure([declare()], { concurrentLoads: hosts }),
    hosts: domains.flatMap((domain) => createHosts(domain, perDomain)),
  });
  const groups = serve(applyDecision([], planPlacement(input)));
  return { ...input, groups };
}

/** A claim as gateways submit it; each turn has a key of its own. */
export function createClaim(turn: number): Command {
  return {
    type: 'claimKey',
    at: claimTime,
    account: 'branch-desk',
    key: `quote-${turn}-2026-12-02`,
    fingerprint: String(turn).padStart(64, 'f'),
    requestId: `19ae3f0c2b1-${turn}-6f1c2a8e0f5d4f0a`,
  };
}
