/** What one step of each decision core costs, and how many steps a request takes; no I/O is measured here. */
import {
  measureHostHealthSteps,
  measurePlacementSteps,
  measureStateMachineSteps,
  measureWatchSteps,
} from './steps/control-steps.js';
import { measureClaimMemory } from './steps/claim-memory.js';
import { measureConsensusSteps } from './steps/consensus-steps.js';
import { measureLeaseSteps } from './steps/lease-steps.js';
import { measureRequestSteps, measureRouterStep } from './steps/request-steps.js';
import { formatMarkdownTable } from './support/index.js';

const header = ['core', 'steps', 'us a step', ''];

console.log(
  formatMarkdownTable(header, [
    ...measureRequestSteps(),
    measureRouterStep(),
    ...measureLeaseSteps(),
    ...measurePlacementSteps(),
    ...measureHostHealthSteps(),
    ...measureConsensusSteps(),
    ...measureStateMachineSteps(),
    ...measureWatchSteps(),
  ]),
);
console.log(`\n${measureClaimMemory()}`);
