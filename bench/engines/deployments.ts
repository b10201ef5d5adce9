import type { EngineProfile } from '../../src/routing/index.js';

/** Shapes of deployments with engines: the sizes of models and fabric domains, and the demand. */

/** Requests at one moment, by model. */
export interface DemandCase {
  readonly label: string;
  readonly large: number;
  readonly small: number;
}

/** One shape of deployment. */
export interface DeploymentShape {
  readonly label: string;
  readonly domainSize: number;
  readonly profile: EngineProfile;
  readonly demands: readonly DemandCase[];
}

function createProfile(
  slots: number,
  largeSize: number,
  smallSize: number,
  loadsPerSecond: number,
): EngineProfile {
  const shared = { share: 0.5 };
  return {
    slots,
    openDuration: 300,
    loadsPerSecond,
    concurrentLoads: 6,
    stagedModels: 1,
    models: [
      {
        ...shared,
        name: 'large',
        groupSize: largeSize,
        pace: 1,
        loadDuration: 16_000,
        stagedJoinDuration: 1600,
      },
      {
        ...shared,
        name: 'small',
        groupSize: smallSize,
        pace: 0.6,
        loadDuration: 12_000,
        stagedJoinDuration: 1100,
      },
    ],
  };
}

/** Three fabric domains each. */
export const deploymentShapes: readonly DeploymentShape[] = [
  {
    label: 'domains of 10, groups of 4 and 2',
    domainSize: 10,
    profile: createProfile(24, 4, 2, 3),
    demands: [
      { label: 'usual', large: 25, small: 52 },
      { label: 'burst of the large model', large: 40, small: 52 },
      { label: 'burst of both', large: 40, small: 85 },
    ],
  },
  {
    label: 'domains of 19, groups of 8 and 4',
    domainSize: 19,
    profile: createProfile(34, 8, 4, 6),
    demands: [
      { label: 'usual', large: 22, small: 80 },
      { label: 'burst of the small model', large: 22, small: 130 },
    ],
  },
  {
    label: 'domains of 27, groups of 12 and 6',
    domainSize: 27,
    profile: createProfile(34, 12, 6, 6.8),
    demands: [
      { label: 'usual', large: 16, small: 95 },
      { label: 'burst of the small model', large: 16, small: 160 },
      { label: 'burst of both', large: 40, small: 150 },
    ],
  },
];
