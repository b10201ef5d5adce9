import { attemptCodes } from './attempt-codes.js';
import { changeCodes } from './change-codes.js';
import { groupCodes } from './group-codes.js';
import { processCodes } from './process-codes.js';
import { requestCodes } from './request-codes.js';
import type { ResultCode } from './row.js';
import { storageCodes } from './storage-codes.js';

/**
 * The one table of numbered result codes.
 * Callers, operators and processes of the system exchange the number; docs/RESULT-CODES.md shows the table.
 */

export type { ExecutionOutcome, ResultCode } from './row.js';

/** All codes by name. */
export const resultCodes = {
  ...requestCodes,
  ...attemptCodes,
  ...groupCodes,
  ...changeCodes,
  ...storageCodes,
  ...processCodes,
} as const satisfies Readonly<Record<string, ResultCode>>;

/** Name of a row of the table. */
export type ResultCodeName = keyof typeof resultCodes;

const namesByNumber = new Map<number, ResultCodeName>(
  resultCodeNames().map((name) => [resultCodes[name].number, name]),
);

/** All names, in the order of the table. */
export function resultCodeNames(): readonly ResultCodeName[] {
  return Object.keys(resultCodes) as ResultCodeName[];
}

/** The name for a number received from another process; `internal` for a number this version does not know. */
export function findResultCodeName(number: number): ResultCodeName {
  return namesByNumber.get(number) ?? 'internal';
}
