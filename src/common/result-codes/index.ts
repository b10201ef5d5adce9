import { attemptCodes } from './attempt-codes.js';
import { changeCodes } from './change-codes.js';
import { groupCodes } from './group-codes.js';
import { processCodes } from './process-codes.js';
import { requestCodes } from './request-codes.js';
import type { ResultCode } from './row.js';
import { storageCodes } from './storage-codes.js';

/**
 * The table of all result codes.
 * Callers, operators and processes of the system exchange the numbers; docs/RESULT-CODES.md documents the table.
 */

export type { ExecutionOutcome, ResultCode } from './row.js';

/** All result codes by name. */
export const resultCodes = {
  ...requestCodes,
  ...attemptCodes,
  ...groupCodes,
  ...changeCodes,
  ...storageCodes,
  ...processCodes,
} as const satisfies Readonly<Record<string, ResultCode>>;

/** Name of a result code. */
export type ResultCodeName = keyof typeof resultCodes;

const namesByNumber = new Map<number, ResultCodeName>(
  resultCodeNames().map((name) => [resultCodes[name].number, name]),
);

/** All names of result codes, in table order. */
export function resultCodeNames(): readonly ResultCodeName[] {
  return Object.keys(resultCodes) as ResultCodeName[];
}

/** Looks up the name for a number received from another process. Returns `internal` for a number that this version does not know. */
export function findResultCodeName(number: number): ResultCodeName {
  return namesByNumber.get(number) ?? 'internal';
}
