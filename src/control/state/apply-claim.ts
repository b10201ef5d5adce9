import { createFailure, type ResultCodeName } from '../../common/index.js';
import type { Command } from './commands.js';
import type { Applied, Claim, ControlState } from './state.js';

/**
 * Claims of idempotency keys: of all requests with one key, one at most runs.
 * A claim counts for 24 hours from its `at`; expiry looks at the `at` of commands only, never at a clock.
 */

type ClaimKey = Extract<Command, { readonly type: 'claimKey' }>;
type SettleClaim = Extract<Command, { readonly type: 'settleClaim' }>;

/** Fingerprint of a claim that is known by its ending only. */
const unknownFingerprint = '';

/** Gives the key to the request, or says what became of the request that has it. */
export function applyClaimKey(state: ControlState, command: ClaimKey): Applied {
  const first = state.claims.find(command.account, command.key, command.at);
  if (first === undefined) {
    return grant(state, command);
  }
  if (first.state === 'notRun' && first.requestId !== command.requestId) {
    return grant(state, command);
  }
  if (isOtherRequest(first, command)) {
    return refuse(state, 'idempotencyConflict', first);
  }
  // The same request asks again when it lost the answer to its claim: it still has the key.
  if (first.state === 'running' && first.requestId === command.requestId) {
    return { state, answer: { type: 'claimed' } };
  }
  return refuse(state, findRepeatCode(first), first);
}

/** Records how the request that has the key ended; anything else than the first ending of that request is ignored. */
export function applySettleClaim(state: ControlState, command: SettleClaim): Applied {
  const first = state.claims.find(command.account, command.key, command.at);
  if (first === undefined) {
    return settle(state, createSettledClaim(command));
  }
  if (first.requestId !== command.requestId || !isOpen(first)) {
    return { state, answer: { type: 'settled' } };
  }
  return settle(state, { ...first, state: command.outcome });
}

function grant(state: ControlState, command: ClaimKey): Applied {
  const claim: Claim = {
    account: command.account,
    key: command.key,
    fingerprint: command.fingerprint,
    requestId: command.requestId,
    state: 'running',
    at: command.at,
  };
  return { state: { ...state, claims: state.claims.with(claim) }, answer: { type: 'claimed' } };
}

function settle(state: ControlState, claim: Claim): Applied {
  return { state: { ...state, claims: state.claims.with(claim) }, answer: { type: 'settled' } };
}

/**
 * An ending that overtook its claim: the gateway gave the claim up as uncertain, and the claim is still under way.
 * Without this record the late claim would hold the key for a request that nobody runs, and the caller, who was told
 * "not run", would be refused for a day.
 */
function createSettledClaim(command: SettleClaim): Claim {
  return {
    account: command.account,
    key: command.key,
    fingerprint: unknownFingerprint,
    requestId: command.requestId,
    state: command.outcome,
    at: command.at,
  };
}

/** Whether the key was used before for a request with other content. */
function isOtherRequest(first: Claim, command: ClaimKey): boolean {
  const isKnown = first.state !== 'notRun' && first.fingerprint !== unknownFingerprint;
  return isKnown && first.fingerprint !== command.fingerprint;
}

function isOpen(claim: Claim): boolean {
  return claim.state === 'running' || claim.state === 'unknown';
}

function findRepeatCode(first: Claim): ResultCodeName {
  switch (first.state) {
    case 'running':
    case 'unknown':
      return 'duplicateInProgress';
    case 'ran':
      return 'duplicateFinished';
    case 'notRun':
      return 'tombstoned';
  }
}

function refuse(state: ControlState, code: ResultCodeName, first: Claim): Applied {
  const detail = `The key was claimed by request ${first.requestId}; state: ${first.state}.`;
  const failure = createFailure(code, detail);
  return { state, answer: { type: 'refused', failure, winner: undefined, differences: [] } };
}
