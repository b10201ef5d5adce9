import type { HostFacts, Labels } from '../../model/index.js';
import type { HostOverride } from './state.js';

/** The facts that a host announced, with the operators' overrides applied. */
export function applyHostOverride(facts: HostFacts, override: HostOverride | undefined): HostFacts {
  if (override === undefined) {
    return facts;
  }
  return {
    ...facts,
    labels: mergeLabels(facts.labels, override.labels),
    isDraining: facts.isDraining || override.isDraining,
  };
}

/** The facts of a host; those of a host in an evacuated failure domain say that it is draining, so that no group is placed there. */
export function drainEvacuated(
  facts: HostFacts,
  evacuations: ReadonlyMap<string, unknown>,
): HostFacts {
  return evacuations.has(facts.failureDomain) ? { ...facts, isDraining: true } : facts;
}

function mergeLabels(announced: Labels, set: HostOverride['labels']): Labels {
  const entries = Object.entries({ ...announced, ...set });
  return Object.fromEntries(
    entries.filter((entry): entry is [string, string] => entry[1] !== null),
  );
}
