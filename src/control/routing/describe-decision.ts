import type {
  EngineDecision,
  EngineView,
  GroupAdvance,
  GroupRemoval,
  PlannerInput,
} from '../../engines/index.js';
import { formatIdentity } from '../../routing/index.js';

/** Describes decisions on engine groups, and their inputs, for the log. */

/** Fields of the log line for a decision. */
export function describeDecision(decision: EngineDecision, input: PlannerInput): object {
  const { place, advance, remove } = decision;
  return {
    demand: describeDemand(input),
    ...describeLosses(decision, input),
    idle: listIdle(input),
    placed: place.map(({ name, members }) => ({ name, hosts: members.map(({ host }) => host) })),
    advance: advance.map((step) => addReports(step, input)),
    remove: remove.map((step) => addReports(step, input)),
  };
}

/**
 * Adds the last report of each member to a closing or removed group. The same step can have different causes: a report without an
 * engine, an old report, or a report of another instance.
 */
function addReports(step: GroupAdvance | GroupRemoval, input: PlannerInput): object {
  if ('phase' in step && step.phase !== 'closing') {
    return step;
  }
  const placed = input.groups.find(({ group }) => group.name === step.name);
  const reports = placed?.group.members.map(
    ({ host }) => `${host}: ${describeReport(input.engines.get(host))}`,
  );
  return { ...step, reports };
}

function describeReport(view: EngineView | undefined): string {
  if (view === undefined) {
    return 'none';
  }
  const { facts, reportAge } = view;
  const { reading, absence } = facts;
  const age = `${Math.round(reportAge)} ms ago`;
  if (reading === undefined) {
    return `${absence ?? 'no engine'}, ${age}`;
  }
  const { membership } = reading;
  const state = membership === undefined ? 'no group' : `${membership.group} ${membership.state}`;
  return `${formatIdentity(reading.instance)} ${state}, ${age}`;
}

/** Concurrent requests by model, as used by the decision. */
function describeDemand({ demand }: PlannerInput): Readonly<Record<string, number>> {
  return Object.fromEntries([...demand].map(([model, count]) => [model, Math.round(count)]));
}

/** What callers lost, and the exchanges that follow from it; nothing if planning does not weigh models by losses. */
function describeLosses({ exchanges = [] }: EngineDecision, { losses }: PlannerInput): object {
  return losses === undefined ? {} : { outcomes: Object.fromEntries(losses.outcomes), exchanges };
}

/** Responding engines that are in no group, with the models that they have loaded or staged. */
function listIdle({ engines, groups }: PlannerInput): readonly string[] {
  const placed = new Set(groups.flatMap(({ group }) => group.members.map(({ host }) => host)));
  return [...engines.values()].flatMap(({ host, facts: { reading, lastModel } }) => {
    const models = [...new Set([lastModel ?? [], reading?.staged ?? []].flat())];
    return reading === undefined || placed.has(host) ? [] : [`${host} (${models.join(', ')})`];
  });
}
