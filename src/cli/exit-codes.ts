import { resultCodes, type Failure, type ResultCodeName } from '../common/index.js';

/** Exit codes of the command line; docs/OPERATORS.md lists them. */
export const exitCodes = {
  /** Success. */
  ok: 0,
  /** Refused, or an error that no other code covers. */
  failed: 1,
  /** Wrong flags or arguments. */
  usage: 2,
  /** The file is invalid; nothing was sent. */
  invalidFile: 3,
  /** Another change was accepted first, or the change id was used for another change. */
  conflict: 4,
  /** No control host could answer, or the answer was lost: resend with the same change id and base. */
  unavailable: 5,
  /** No host or failure domain of this name. */
  notFound: 6,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const exitCodesByName: Partial<Readonly<Record<ResultCodeName, ExitCode>>> = {
  revisionConflict: exitCodes.conflict,
  changeIdReused: exitCodes.conflict,
  invalidConfiguration: exitCodes.invalidFile,
  invalidSettings: exitCodes.invalidFile,
  unknownHost: exitCodes.notFound,
  unknownFailureDomain: exitCodes.notFound,
};

/** Returns the exit code for a failure. Failures that may succeed on a retry count as unavailable. */
export function findExitCode(failure: Failure): ExitCode {
  const special = exitCodesByName[failure.code];
  if (special !== undefined) {
    return special;
  }
  return resultCodes[failure.code].retryable ? exitCodes.unavailable : exitCodes.failed;
}
