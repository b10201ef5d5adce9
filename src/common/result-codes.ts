/**
 * The one table of numbered result codes.
 * Callers, operators and processes of the system exchange the number; docs/RESULT-CODES.md shows the table.
 */

/**
 * What a code says about the request it answers.
 * `notRun`: it did not run, sending it again is safe. `unknown`: it may have run. `ran`: it ran and was answered.
 * `notApplicable`: the code is not about a caller's request.
 */
export type ExecutionOutcome = 'notRun' | 'unknown' | 'ran' | 'notApplicable';

/** One row of the table. */
export interface ResultCode {
  readonly number: number;
  readonly httpStatus: number;
  readonly outcome: ExecutionOutcome;
  /** Whether the same request may succeed later. */
  readonly retryable: boolean;
  /** What happened, for a person. */
  readonly message: string;
  /** What to do about it. */
  readonly advice: string;
}

/** All codes by name. 1xxx: the caller's request; 2xxx: attempts; 3xxx: groups and leases; 4xxx: changes; 5xxx: storage; 6xxx: processes. */
export const resultCodes = {
  ok: row(0, 200, 'ran', false, 'The answer is whole.', 'Nothing to do.'),

  malformedBody: row(
    1001,
    400,
    'notRun',
    false,
    'The body is not valid JSON.',
    'Correct the body.',
  ),
  invalidRequest: row(
    1002,
    400,
    'notRun',
    false,
    'The request misses a field or has one of a wrong type.',
    'Correct the field that the message names.',
  ),
  unknownAccount: row(
    1003,
    401,
    'notRun',
    false,
    'The bearer key belongs to no client account.',
    'Send a valid key in the Authorization header.',
  ),
  notReachable: row(
    1004,
    403,
    'notRun',
    false,
    'No group that this client account may reach carries what was asked for.',
    'Ask the operators for access.',
  ),
  unknownModel: row(
    1005,
    404,
    'notRun',
    false,
    'No group carries this model.',
    'List the models with GET /v1/models.',
  ),
  unknownPath: row(
    1006,
    404,
    'notRun',
    false,
    'There is nothing at this path.',
    'See docs/CALLERS.md for the paths.',
  ),
  unsupportedMethod: row(
    1007,
    405,
    'notRun',
    false,
    'This path does not take this method.',
    'Use the method in the Allow header.',
  ),
  bodyTooLarge: row(
    1008,
    413,
    'notRun',
    false,
    'The body is larger than the gateway accepts.',
    'Send a smaller body.',
  ),
  accountLimit: row(
    1009,
    429,
    'notRun',
    true,
    'The client account is at its limit.',
    'Wait for the time in Retry-After.',
  ),
  idempotencyConflict: row(
    1010,
    422,
    'notRun',
    false,
    'The Idempotency-Key was used before with another request.',
    'Use a new key for a new request.',
  ),
  duplicateInProgress: row(
    1011,
    409,
    'unknown',
    false,
    'A request with this Idempotency-Key is running or its outcome is not known.',
    'Do not send it again; look for the effect of the first.',
  ),
  duplicateFinished: row(
    1012,
    409,
    'ran',
    false,
    'A request with this Idempotency-Key has already run.',
    'Use the answer of the first.',
  ),
  unknownService: row(
    1013,
    404,
    'notRun',
    false,
    'No upstream offers this plain service.',
    'Check the name of the service.',
  ),

  overloaded: row(
    2001,
    503,
    'notRun',
    true,
    'Every upstream that could take the request is full.',
    'Wait for the time in Retry-After.',
  ),
  noServingGroup: row(
    2002,
    503,
    'notRun',
    true,
    'No group that carries this is serving now.',
    'Wait for the time in Retry-After.',
  ),
  deadlineBeforeStart: row(
    2003,
    504,
    'notRun',
    true,
    'The time allowed passed before the request could start.',
    'Send it again, or allow more time.',
  ),
  retryBudgetSpent: row(
    2004,
    503,
    'notRun',
    true,
    'The gateway has spent its retry budget.',
    'Wait for the time in Retry-After.',
  ),
  stopping: row(
    2005,
    503,
    'notRun',
    true,
    'This process is shutting down.',
    'Send it again; another process takes it.',
  ),
  tombstoned: row(
    2006,
    503,
    'notRun',
    true,
    'The attempt was declared not run before it arrived.',
    'Send it again.',
  ),
  staleIncarnation: row(
    2007,
    503,
    'notRun',
    true,
    'The attempt was meant for an earlier incarnation of this sidecar.',
    'The gateway takes the new one; send it again.',
  ),
  staleFencingNumber: row(
    2008,
    503,
    'notRun',
    true,
    'The attempt carries another fencing number than the group.',
    'The gateway learns the new one; send it again.',
  ),
  staleConfiguration: row(
    2009,
    503,
    'notRun',
    true,
    'The attempt was made under an older configuration.',
    'The gateway fetches the newer one; send it again.',
  ),
  claimUnavailable: row(
    2010,
    503,
    'notRun',
    true,
    'The Idempotency-Key cannot be claimed now: control has no quorum.',
    'Wait for the time in Retry-After.',
  ),
  upstreamUnreachable: row(
    2011,
    503,
    'notRun',
    true,
    'The upstream could not be reached; nothing was sent.',
    'Wait for the time in Retry-After.',
  ),
  duplicateAttempt: row(
    2012,
    503,
    'notRun',
    false,
    'This attempt is already known here; the second copy was not run.',
    'Nothing to do; the first goes on.',
  ),
  attemptTooOld: row(
    2013,
    503,
    'notRun',
    true,
    'The attempt is older than what the sidecar remembers, or a wall clock is wrong.',
    'Send it again; if it stays, compare the clocks of the gateway and the host.',
  ),
  answerLost: row(
    2101,
    502,
    'unknown',
    false,
    'The upstream stopped answering; the request may have run.',
    'Look for its effect before sending it again.',
  ),
  answerBroken: row(
    2102,
    502,
    'unknown',
    true,
    'The answer broke off before its end.',
    'Discard what came; an idempotent request may be sent again.',
  ),
  deadlineAfterStart: row(
    2103,
    504,
    'unknown',
    false,
    'The time allowed passed while the request ran.',
    'Look for its effect before sending it again.',
  ),
  groupBroken: row(
    2104,
    502,
    'unknown',
    true,
    'The group lost a member while it answered.',
    'Discard what came; an idempotent request may be sent again.',
  ),
  cancelled: row(2105, 499, 'unknown', false, 'The caller went away.', 'Nothing to do.'),
  answerTooLarge: row(
    2106,
    502,
    'unknown',
    false,
    'The answer is larger than the gateway holds.',
    'Ask for a streamed answer.',
  ),
  upstreamFailed: row(
    2107,
    502,
    'unknown',
    false,
    'The upstream failed while it ran the request.',
    'Look for its effect before sending it again.',
  ),

  notWhole: row(
    3001,
    503,
    'notRun',
    true,
    'The group does not hold the lease of every member.',
    'Wait for the time in Retry-After.',
  ),
  draining: row(
    3002,
    503,
    'notRun',
    true,
    'The group is draining and takes no new work.',
    'The gateway takes another group; send it again.',
  ),
  unknownGroup: row(
    3003,
    503,
    'notRun',
    true,
    'This sidecar leads no such group.',
    'The gateway learns the present groups; send it again.',
  ),
  leaseHeldElsewhere: row(
    3004,
    409,
    'notApplicable',
    true,
    'The host has given a lease to another group that has not run out.',
    'Wait until it runs out.',
  ),
  engineUnhealthy: row(
    3005,
    503,
    'notApplicable',
    true,
    "The host's own engine part is not healthy.",
    'See the log of the engine.',
  ),
  restartWait: row(
    3006,
    503,
    'notApplicable',
    true,
    'The sidecar restarted less than one lease ago.',
    'Wait for one lease.',
  ),
  wrongIncarnation: row(
    3007,
    409,
    'notApplicable',
    true,
    'The question was meant for an earlier incarnation.',
    'Ask again with the present one.',
  ),
  orderFenced: row(
    3008,
    409,
    'notApplicable',
    false,
    'The order carries an old fencing number and was refused.',
    'Nothing to do; a newer order stands.',
  ),
  artifactNotLoaded: row(
    3009,
    503,
    'notRun',
    true,
    'The engines have not loaded what the group carries yet.',
    'Wait for the time in Retry-After.',
  ),

  revisionConflict: row(
    4001,
    409,
    'notApplicable',
    false,
    'Another change was accepted since the revision this one was made from.',
    'Look at the winner, make the change again from its revision.',
  ),
  invalidConfiguration: row(
    4002,
    400,
    'notApplicable',
    false,
    'The configuration does not pass its checks.',
    'Correct what the message names.',
  ),
  noQuorum: row(
    4003,
    503,
    'notApplicable',
    true,
    'Control has no leader with a quorum now; the change was not accepted.',
    'Resend it with the same change id.',
  ),
  changeUncertain: row(
    4004,
    503,
    'notApplicable',
    true,
    'The change may or may not have been accepted.',
    'Resend it with the same change id to learn which.',
  ),
  unknownHost: row(
    4005,
    404,
    'notApplicable',
    false,
    'No host of this name has announced itself.',
    'List the hosts.',
  ),
  invalidCommand: row(
    4006,
    400,
    'notApplicable',
    false,
    'Control does not know this command.',
    'Use a command line of the same version.',
  ),
  notFresh: row(
    4007,
    503,
    'notApplicable',
    true,
    'This control host cannot confirm that its state is the newest.',
    'Ask another control host.',
  ),
  changeIdReused: row(
    4008,
    409,
    'notApplicable',
    false,
    'The change id was used before with another change.',
    'Use a new change id for a new change.',
  ),
  stalePlacement: row(
    4009,
    409,
    'notApplicable',
    true,
    'Groups changed since this placement was decided.',
    'Nothing to do; control decides again.',
  ),
  hostInTwoGroups: row(
    4010,
    409,
    'notApplicable',
    false,
    'The placement would put one host into two groups.',
    'Report it: placement must not decide this.',
  ),

  damagedLog: row(
    5001,
    500,
    'notApplicable',
    false,
    'The log in the data folder is damaged before its end.',
    'Replace this control host: see docs/OPERATORS.md.',
  ),
  foreignDataFolder: row(
    5002,
    500,
    'notApplicable',
    false,
    'The data folder belongs to another control host.',
    'Correct the path in the settings.',
  ),
  diskFailed: row(
    5003,
    500,
    'notApplicable',
    false,
    'A write or a sync of the data folder failed.',
    'Check the disk; the process stops and can be started again.',
  ),

  invalidSettings: row(
    6001,
    500,
    'notApplicable',
    false,
    'The settings do not pass their checks.',
    'Correct the line that the message names.',
  ),
  addressInUse: row(
    6002,
    500,
    'notApplicable',
    false,
    'The address to listen at is in use.',
    'Stop the other process or change the settings.',
  ),
  internal: row(
    6003,
    500,
    'unknown',
    false,
    'A fault of the system itself.',
    'Report it with the log lines of the request id.',
  ),
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

function row(
  number: number,
  httpStatus: number,
  outcome: ExecutionOutcome,
  retryable: boolean,
  message: string,
  advice: string,
): ResultCode {
  return { number, httpStatus, outcome, retryable, message, advice };
}
