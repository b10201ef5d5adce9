import { assertNever } from '../../common/index.js';
import { applyChange } from './apply-change.js';
import { applyNoteCrashes, applyReleaseSubject } from './apply-crashes.js';
import { applyClaimKey, applySettleClaim } from './apply-claim.js';
import { applySetEvacuation } from './apply-evacuation.js';
import { applyPlanEngineGroups } from './apply-engine-groups.js';
import { applyPlaceGroups } from './apply-placement.js';
import { applyRecordInstances } from './apply-instances.js';
import { applyPutRouting } from './apply-routing.js';
import type { Command } from './commands.js';
import type { ApplyResult, ControlState } from './state.js';

/**
 * Applies one committed command. Deterministic, so that every control host derives the same state: it uses no clock and
 * no random numbers; time comes from the command's `at`.
 */
export function applyCommand(state: ControlState, command: Command): ApplyResult {
  const index = state.index + 1;
  const claims = state.claims.sweep(index, command.at);
  return applyByType({ ...state, index, claims }, command);
}

function applyByType(state: ControlState, command: Command): ApplyResult {
  switch (command.type) {
    case 'applyConfiguration':
    case 'setHostLabels':
    case 'setHostDrain':
      return applyChange(state, command);
    case 'placeGroups':
      return applyPlaceGroups(state, command);
    case 'claimKey':
      return applyClaimKey(state, command);
    case 'settleClaim':
      return applySettleClaim(state, command);
    case 'putRouting':
      return applyPutRouting(state, command);
    case 'recordInstances':
      return applyRecordInstances(state, command);
    case 'planEngineGroups':
      return applyPlanEngineGroups(state, command);
    case 'noteCrashes':
      return applyNoteCrashes(state, command);
    case 'releaseSubject':
      return applyReleaseSubject(state, command);
    case 'setEvacuation':
      return applySetEvacuation(state, command);
    default:
      return assertNever(command);
  }
}
