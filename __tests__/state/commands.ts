import fc from 'fast-check';

import { emptyConfiguration } from '../../src/configuration/index.js';
import type { Change, Command, ControlState } from '../../src/control/state/index.js';

/** Generators of random commands with few names, so that ids, keys, hosts and revisions collide often. */

export const propertyParameters = {
  seed: 20_261_202,
  numRuns: Number(process.env.PISTACHIOSPOKE_PROPERTY_RUNS ?? 300),
};

/** Creates a command whose base revision or index comes from the state when the step runs. */
export type Step = (state: ControlState, at: number) => Command;

const changeFields = fc.record({
  changeId: fc.constantFrom('change-1', 'change-2', 'change-3', 'change-4', 'change-5'),
  operator: fc.constantFrom('amina', 'yonas'),
  lag: fc.constantFrom(0, 0, 0, 1, 2, -1),
});

const labelStep: fc.Arbitrary<Step> = fc
  .tuple(changeFields, fc.constantFrom('host-1', 'host-2'), fc.constantFrom('blue', 'green', null))
  .map(([{ lag, ...change }, host, value]) => (state, at) => ({
    type: 'setHostLabels',
    ...change,
    baseRevision: Math.max(0, state.revision - lag),
    at,
    host,
    labels: { pool: value },
  }));

const drainStep: fc.Arbitrary<Step> = fc
  .tuple(changeFields, fc.constantFrom('host-1', 'host-2'), fc.boolean())
  .map(([{ lag, ...change }, host, isDraining]) => (state, at) => ({
    type: 'setHostDrain',
    ...change,
    baseRevision: Math.max(0, state.revision - lag),
    at,
    host,
    isDraining,
  }));

const configurationStep: fc.Arbitrary<Step> = fc
  .tuple(changeFields, fc.integer({ min: 0, max: 3 }))
  .map(([{ lag, ...change }, weight]) => (state, at) => ({
    type: 'applyConfiguration',
    ...change,
    baseRevision: Math.max(0, state.revision - lag),
    at,
    document: {
      ...emptyConfiguration,
      policy: { ...emptyConfiguration.policy, groupDowntimeWeight: weight },
    },
  }));

const placement = fc
  .record({
    name: fc.constantFrom('llm/1', 'llm/2', 'llm/3'),
    hosts: fc.uniqueArray(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 3 }),
    isDraining: fc.boolean(),
  })
  .map(({ name, hosts, isDraining }) => ({
    name,
    declaration: 'llm',
    members: hosts.map((number) => ({
      host: `host-${number}`,
      address: `127.0.0.1:${8600 + number}`,
      incarnation: 'one',
    })),
    offer: { type: 'service', service: 'llm' } as const,
    isDraining,
  }));

const placeStep: fc.Arbitrary<Step> = fc
  .record({
    place: fc.array(placement, { maxLength: 3 }),
    dissolve: fc.subarray(['llm/1', 'llm/2', 'llm/3']),
    lag: fc.constantFrom(0, 0, 1, 3),
  })
  .map(({ place, dissolve, lag }) => (state, at) => ({
    type: 'placeGroups',
    at,
    place,
    dissolve,
    basedOn: Math.max(0, state.index - lag),
  }));

const claimFields = fc.record({
  account: fc.constant('desk'),
  key: fc.constantFrom('key-1', 'key-2'),
  requestId: fc.constantFrom('request-1', 'request-2', 'request-3'),
});

const claimStep: fc.Arbitrary<Step> = fc
  .tuple(claimFields, fc.constantFrom('body-1', 'body-1', 'body-2'))
  .map(([fields, fingerprint]) => (_state, at) => ({
    type: 'claimKey',
    ...fields,
    fingerprint,
    at,
  }));

const settleStep: fc.Arbitrary<Step> = fc
  .tuple(claimFields, fc.constantFrom('notRun', 'ran', 'unknown'))
  .map(([fields, outcome]) => (_state, at) => ({ type: 'settleClaim', ...fields, outcome, at }));

/** A step and the hours that pass before it. */
export interface TimedStep {
  readonly step: Step;
  readonly hours: number;
}

const anyStep = fc.oneof(labelStep, drainStep, configurationStep, placeStep, claimStep, settleStep);

export const steps: fc.Arbitrary<readonly TimedStep[]> = fc.array(
  fc.record({ step: anyStep, hours: fc.constantFrom(0, 0, 0, 1, 13) }),
  { maxLength: 60 },
);

export const changeSteps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.oneof(labelStep, drainStep, configurationStep),
  { maxLength: 40 },
);

export function isChange(command: Command): command is Change {
  return 'changeId' in command;
}
