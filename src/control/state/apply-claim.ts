import { createFailure, type ResultCodeName } from '../../common/index.js';
import type { Command } from './commands.js';
import type { ApplyResult, Claim, ControlState } from './state.js';

/**
 * Applies claims of idempotency keys: of all requests with one key, at most one runs.
 * A claim is valid for 24 hours from its `at`. Expiry depends on the `at` of commands only, never on a clock.
 */

type ClaimKey = Extract<Command, { readonly type: 'claimKey' }>;
type SettleClaim = Extract<Command, { readonly type: 'settleClaim' }>;

/** Fingerprint of a claim of which only the outcome is known. */
const unknownFingerprint = '';

/** Grants the key to the request, or reports the state of the request that holds it. */
export function applyClaimKey(state: ControlState, command: ClaimKey): ApplyResult {
  const first = state.claims.find(command.account, command.key, command.at);
  if (first === undefined) {
    return grant(state, command);
  }
  if (first.state === 'notRun' && first.requestId !== command.requestId) {
    return grant(state, command);
  }
  if (hasDifferentContent(first, command)) {
    return refuse(state, 'idempotencyConflict', first);
  }
  // The request repeats its claim because the answer was lost; it still holds the key.
  if (first.state === 'running' && first.requestId === command.requestId) {
    return { state, answer: { type: 'claimed' } };
  }
  return refuse(state, findDuplicateCode(first), first);
}

/** Records the outcome of the request that holds the key. Outcomes after its first final one, and those of other requests, are ignored. */
export function applySettleClaim(state: ControlState, command: SettleClaim): ApplyResult {
  const first = state.claims.find(command.account, command.key, command.at);
  if (first === undefined) {
    return settle(state, createSettledClaim(command));
  }
  if (first.requestId !== command.requestId || !isOpen(first)) {
    return { state, answer: { type: 'settled' } };
  }
  return settle(state, { ...first, state: command.outcome });
}

function grant(state: ControlState, command: ClaimKey): ApplyResult {
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

function settle(state: ControlState, claim: Claim): ApplyResult {
  return { state: { ...state, claims: state.claims.with(claim) }, answer: { type: 'settled' } };
}

/**
 * Creates the claim for an outcome that arrives before its claim: the gateway gave up waiting for the claim, which may
 * still commit. Without this record the late claim would hold the key for a request that never runs, and the caller, who
 * was told "not run", would be refused for a day.
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

/** Whether the key was used before for a request with different content. */
function hasDifferentContent(first: Claim, command: ClaimKey): boolean {
  const isKnown = first.state !== 'notRun' && first.fingerprint !== unknownFingerprint;
  return isKnown && first.fingerprint !== command.fingerprint;
}

function isOpen(claim: Claim): boolean {
  return claim.state === 'running' || claim.state === 'unknown';
}

function findDuplicateCode(first: Claim): ResultCodeName {
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

function refuse(state: ControlState, code: ResultCodeName, first: Claim): ApplyResult {
  const detail = `The key was claimed by request ${first.requestId}; state: ${first.state}.`;
  const failure = createFailure(code, detail);
  return { state, answer: { type: 'refused', failure, winner: undefined, differences: [] } };
}
