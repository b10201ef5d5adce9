import { pino } from 'pino';
import { Registry } from 'prom-client';
import { Ok } from 'ts-results';
import { afterEach, describe, expect, it, vi } from 'vitest';

import { EngineLoop, type EngineLoopOptions } from '../../src/control/routing/engine-loop.js';
import { EngineMetrics } from '../../src/control/routing/engine-metrics.js';
import type { PlannerInput } from '../../src/engines/index.js';
import { initialControlState, type ControlState } from '../../src/control/state/index.js';
import { createDocument } from '../routing/documents.js';
import { createGroupView } from '../engines/fixtures.js';

const { group } = createGroupView('large/1', ['a', 'b', 'c', 'd']);
const members = group.members.map((member) => ({ ...member, failureDomain: 'd0' }));

const state: ControlState = {
  ...initialControlState,
  routing: {
    ...initialControlState.routing,
    document: createDocument(),
    engineGroups: new Map([['large/1', { ...group, members }]]),
    evacuations: new Map([['d0', { failureDomain: 'd0', startedAt: 0 }]]),
  },
};

/** A loop on a control host whose clock and leadership a test sets. */
class LoopWorld {
  now = 0;
  isLeader = false;
  isDemandSettled = false;
  readonly commands: unknown[] = [];
  readonly inputs: PlannerInput[] = [];
  readonly loop: EngineLoop;

  constructor() {
    const metrics = new EngineMetrics(new Registry());
    vi.spyOn(metrics, 'recordInput').mockImplementation((input) => {
      this.inputs.push(input);
    });
    const view = () => (this.isLeader ? { type: 'leader' } : { type: 'follower', leader: 'x' });
    const proposeLocally = (command: unknown) => {
      this.commands.push(command);
      return Promise.resolve(new Ok({ type: 'planned' }));
    };
    this.loop = new EngineLoop({
      log: { view },
      submitter: { proposeLocally },
      readState: () => state,
      readEngines: () => new Map(),
      readDemand: () => new Map(),
      readOutcomes: () => new Map([['large', { inTime: 1, late: 0, refused: 9, priority: 0 }]]),
      isDemandSettled: () => this.isDemandSettled,
      metrics,
      clock: { monotonic: () => this.now },
      logger: pino({ level: 'silent' }),
    } as unknown as EngineLoopOptions);
  }

  /** Makes this host the leader and returns the first command that it proposes. */
  async lead(): Promise<unknown> {
    this.isLeader = true;
    this.loop.resetLeaderState();
    this.loop.notify();
    await vi.advanceTimersByTimeAsync(1);
    return this.commands[0];
  }
}

describe('the loop of a new leader', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against an evacuation that takes as long again with every new leader, because each one starts to count when it leads.
  it('counts the time of an evacuation from when it knew of it as a follower', async () => {
    vi.useFakeTimers();
    const world = new LoopWorld();
    world.loop.open();
    world.loop.notify();
    world.now = 2000;
    expect(await world.lead()).toMatchObject({ advance: [{ name: 'large/1', phase: 'draining' }] });
    world.loop.close();
  });

  it('does not drain an evacuated group early without reports', async () => {
    vi.useFakeTimers();
    const world = new LoopWorld();
    world.loop.open();
    world.loop.notify();
    world.now = 1999;
    expect(await world.lead()).toBeUndefined();
    world.loop.close();
  });

  // Guards against a new leader that takes engines from a model because only its callers' gateways have reported so far.
  it('does not weigh losses before all gateways had time to report', async () => {
    vi.useFakeTimers();
    const world = new LoopWorld();
    world.loop.open();
    await world.lead();
    expect(world.inputs.at(-1)?.losses).toBeUndefined();
    world.isDemandSettled = true;
    world.loop.notify();
    await vi.advanceTimersByTimeAsync(1);
    expect(world.inputs.at(-1)?.losses?.outcomes.get('large')?.refused).toBe(9);
    world.loop.close();
  });
});
