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

function mergeLabels(announced: Labels, set: HostOverride['labels']): Labels {
  const entries = Object.entries({ ...announced, ...set });
  return Object.fromEntries(
    entries.filter((entry): entry is [string, string] => entry[1] !== null),
  );
}
