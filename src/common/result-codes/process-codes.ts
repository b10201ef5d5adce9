import { createResultCode } from './row.js';

/** 6xxx: result codes of processes of the system. */
export const processCodes = {
  invalidSettings: createResultCode(
    6001,
    500,
    'notApplicable',
    false,
    'The settings do not pass their checks.',
    'Correct the line that the message names.',
  ),
  addressInUse: createResultCode(
    6002,
    500,
    'notApplicable',
    false,
    'The address to listen at is in use.',
    'Stop the other process or change the settings.',
  ),
  internal: createResultCode(
    6003,
    500,
    'unknown',
    false,
    'A fault of the system itself.',
    'Report it with the log lines of the request id.',
  ),
};
