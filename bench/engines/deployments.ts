import type { EngineProfile } from '../../src/routing/index.js';
import { createEngineProfile } from '../../__tests__/routing/documents.js';

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
  /** Most urgent priority of the requests for each model; 0 is the most urgent one. */
  readonly priorities: ReadonlyMap<string, number>;
}

const samePriority = new Map([
  ['large', 1],
  ['small', 1],
]);
const smallFirst = new Map([
  ['large', 1],
  ['small', 0],
]);

/** Three fabric domains each. */
export const deploymentShapes: readonly DeploymentShape[] = [
  {
    label: 'domains of 10, groups of 4 and 2',
    domainSize: 10,
    profile: createEngineProfile({ slots: 24, loadsPerSecond: 3, groupSizes: [4, 2] }),
    priorities: samePriority,
    demands: [
      { label: 'usual', large: 25, small: 52 },
      { label: 'burst of the large model', large: 40, small: 52 },
      { label: 'burst of both', large: 40, small: 85 },
    ],
  },
  {
    label: 'domains of 19, groups of 8 and 4',
    domainSize: 19,
    profile: createEngineProfile({ slots: 34, loadsPerSecond: 6, groupSizes: [8, 4] }),
    priorities: samePriority,
    demands: [
      { label: 'usual', large: 22, small: 80 },
      { label: 'burst of the small model', large: 22, small: 130 },
    ],
  },
  {
    label: 'domains of 27, groups of 12 and 6',
    domainSize: 27,
    profile: createEngineProfile({ slots: 34, loadsPerSecond: 6.8, groupSizes: [12, 6] }),
    priorities: smallFirst,
    demands: [
      { label: 'usual', large: 16, small: 95 },
      { label: 'burst of the small model', large: 16, small: 160 },
      { label: 'burst of both', large: 40, small: 150 },
    ],
  },
];
