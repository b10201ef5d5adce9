import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';

import { EngineMetrics } from '../../src/control/routing/engine-metrics.js';
import type { PlannerInput } from '../../src/engines/index.js';
import { InstanceSet } from '../../src/routing/index.js';
import { createGroupView } from '../engines/fixtures.js';

const input: PlannerInput = {
  services: [],
  groups: [createGroupView('large/1', ['a']), createGroupView('large/2', ['b'], 'joining')],
  engines: new Map(),
  leaving: new InstanceSet(),
  hasTraffic: true,
  isSettling: false,
  loadsAllowed: 0,
  pendingStaging: new Map(),
  evacuations: new Map(),
  demand: new Map([['large', 12]]),
  losses: {
    outcomes: new Map([['small', { inTime: 5, late: 2, refused: 3, priority: 0 }]]),
    exchanges: [],
  },
  nextNumber: 3,
};

describe('metrics of engine groups', () => {
  it('show what the last decision was made from, and what became of it', async () => {
    const registry = new Registry();
    const metrics = new EngineMetrics(registry);
    metrics.recordInput(input);
    const advance = [{ name: 'large/1', phase: 'closing' as const, reason: 'a member was lost' }];
    const exchanges = [{ from: 'large', to: 'small' }];
    metrics.recordDecision({ place: [], stage: [], remove: [], advance, exchanges }, input, true);
    metrics.recordInput({ ...input, groups: input.groups.slice(1) });
    const page = await registry.metrics();
    expect(page).toContain('pistachiospoke_groups{model="large",phase="joining"} 1');
    expect(page).not.toContain('phase="open"');
    expect(page).toContain('pistachiospoke_demand_requests{model="large"} 12');
    expect(page).toContain('pistachiospoke_groups_closing_total{model="large"} 1');
    expect(page).toContain('pistachiospoke_group_decisions_total{result="committed"} 1');
    expect(page).toContain('pistachiospoke_group_exchanges_total{from="large",to="small"} 1');
    expect(page).toContain('pistachiospoke_model_outcomes{model="small",result="late"} 2');
  });
});
