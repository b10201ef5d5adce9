import type { EngineModel } from '../routing/index.js';
import { findDomainOfGroup, listDomains, type AvailableEngine } from './available-engines.js';
import type { GroupAdvance, GroupView } from './types.js';

/** Chooses groups to form anew before the first request, so that spare engines hold the weights of two models. */

/** Input for choosing exchanges. */
export interface ExchangeInput {
  readonly models: readonly EngineModel[];
  readonly available: readonly AvailableEngine[];
  /** Groups that serve or are being formed. */
  readonly activeGroups: readonly GroupView[];
  /** Fabric domain of each host whose engine answers. */
  readonly domains: ReadonlyMap<string, string>;
}

/**
 * Load pattern: members of groups of several models are lost, and a spare that holds one model cannot replace those of the other. An engine
 * that was ready in a group can rejoin with that model, and its host keeps another one staged. So while no requests are lost by it, the
 * spares of a domain that were never in a group join one in place of members, which stand by with both models instead.
 */
export function chooseExchanges(input: ExchangeInput): readonly GroupAdvance[] {
  return listDomains(input.available).flatMap((domain) => chooseInDomain(domain, input));
}

/** Whether the engine was never ready in a group and its host holds the model. */
export function isNewcomer({ engine }: AvailableEngine, model: EngineModel): boolean {
  return engine.lastModel === undefined && engine.reading.staged.includes(model.name);
}

function chooseInDomain(domain: string, input: ExchangeInput): readonly GroupAdvance[] {
  const local = input.available.filter(({ engine }) => engine.reading.fabricDomain === domain);
  const groups = input.activeGroups.filter(
    (view) => findDomainOfGroup(view, input.domains) === domain,
  );
  const idle = local.filter(({ openGroup }) => openGroup === undefined);
  const isCalm =
    groups.every(({ group }) => group.phase === 'open') &&
    idle.every(({ timeUntilFree, engine }) => timeUntilFree === 0 && !engine.reading.isBusy);
  if (!isCalm) {
    return [];
  }
  return input.models.flatMap((model) => {
    const hasNewcomer = idle.some((engine) => isNewcomer(engine, model));
    const exchanged = groups.find(({ group }) => group.model === model.name);
    return hasNewcomer && exchanged !== undefined ? [describeExchange(exchanged)] : [];
  });
}

function describeExchange({ group }: GroupView): GroupAdvance {
  return {
    name: group.name,
    phase: 'draining',
    reason: 'spare engines that were never in a group take the place of members',
  };
}
