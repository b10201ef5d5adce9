import { createResultCode } from './row.js';

/** 5xxx: result codes of the data folder of a control host. */
export const storageCodes = {
  damagedLog: createResultCode(
    5001,
    500,
    'notApplicable',
    false,
    'The log in the data folder is damaged before its end.',
    'Replace this control host: see docs/OPERATORS.md.',
  ),
  foreignDataFolder: createResultCode(
    5002,
    500,
    'notApplicable',
    false,
    'The data folder belongs to another control host.',
    'Correct the path in the settings.',
  ),
  diskFailed: createResultCode(
    5003,
    500,
    'notApplicable',
    false,
    'A write or a sync of the data folder failed.',
    'Check the disk; the process stops and can be started again.',
  ),
};
