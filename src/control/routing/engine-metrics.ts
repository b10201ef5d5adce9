import { Counter, Gauge, type Registry } from 'prom-client';

import type { EngineDecision, PlannerInput } from '../../engines/index.js';

/** Metrics of the control leader about engine groups; docs/METRICS.md lists the names. */
export class EngineMetrics {
  readonly #decisions: Counter<'result'>;
  readonly #closing: Counter<'model'>;
  readonly #exchanges: Counter<'from' | 'to'>;
  /** Input of the last decision. The gauges are computed from it when they are collected, not at each of several decisions a second. */
  #input: PlannerInput | undefined;

  constructor(registry: Registry) {
    const registers = [registry];
    this.#decisions = new Counter({
      name: 'pistachiospoke_group_decisions_total',
      help: 'Decisions of this leader on groups of engines, by whether they were committed.',
      labelNames: ['result'],
      registers,
    });
    this.#closing = new Counter({
      name: 'pistachiospoke_groups_closing_total',
      help: 'Groups of engines that were ordered to close, by model.',
      labelNames: ['model'],
      registers,
    });
    this.#exchanges = new Counter({
      name: 'pistachiospoke_group_exchanges_total',
      help: 'Groups of engines that were ordered to drain because another model needs their engines.',
      labelNames: ['from', 'to'],
      registers,
    });
    const outcomes = new Gauge<'model' | 'result'>({
      name: 'pistachiospoke_model_outcomes',
      help: 'Requests that ended within the last seconds, by model and by how they ended, where planning weighs models by it.',
      labelNames: ['model', 'result'],
      registers,
      collect: () => {
        outcomes.reset();
        this.#input?.losses?.outcomes.forEach(({ inTime, late, refused }, model) => {
          outcomes.set({ model, result: 'in_time' }, inTime);
          outcomes.set({ model, result: 'late' }, late);
          outcomes.set({ model, result: 'refused' }, refused);
        });
      },
    });
    const groups = new Gauge<'model' | 'phase'>({
      name: 'pistachiospoke_groups',
      help: 'Groups of engines by model and phase, as this host knows them.',
      labelNames: ['model', 'phase'],
      registers,
      collect: () => {
        groups.reset();
        this.#input?.groups.forEach(({ group: { model, phase } }) => {
          groups.inc({ model, phase });
        });
      },
    });
    const demand = new Gauge<'model'>({
      name: 'pistachiospoke_demand_requests',
      help: 'Requests that want to run at one moment, by model, as this leader takes it.',
      labelNames: ['model'],
      registers,
      collect: () => {
        this.#input?.demand.forEach((requests, model) => {
          demand.set({ model }, requests);
        });
      },
    });
  }

  /** Called before each decision. */
  recordInput(input: PlannerInput): void {
    this.#input = input;
  }

  recordDecision(
    { advance, exchanges = [] }: EngineDecision,
    input: PlannerInput,
    isCommitted: boolean,
  ): void {
    this.#decisions.inc({ result: isCommitted ? 'committed' : 'failed' });
    if (!isCommitted) {
      return;
    }
    for (const { from, to } of exchanges) {
      this.#exchanges.inc({ from, to });
    }
    const closing = new Set(
      advance.filter(({ phase }) => phase === 'closing').map(({ name }) => name),
    );
    for (const { group } of input.groups.filter((view) => closing.has(view.group.name))) {
      this.#closing.inc({ model: group.model });
    }
  }
}
