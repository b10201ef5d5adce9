import type { Change } from '../control/state/index.js';
import type { ControlContext } from './context.js';
import { exitCodes, type ExitCode } from './exit-codes.js';

/** What all changes have in common: id, base revision, submission and the report of the outcome. */

/** Flags of every command that changes something. */
export interface ChangeFlags {
  readonly changeId: string | undefined;
  readonly base: number | undefined;
}

/** A change without the fields common to all changes. */
export type ChangeContent = DistributiveOmit<
  Change,
  'changeId' | 'baseRevision' | 'operator' | 'at'
>;

type DistributiveOmit<Value, Key extends PropertyKey> = Value extends unknown
  ? Omit<Value, Key>
  : never;

export interface ChangeRequest {
  readonly content: ChangeContent;
  readonly flags: ChangeFlags;
  /** Revision that the command has read, if any. */
  readonly readRevision: number | undefined;
  /** The command without flags, for hints on how to resend it. */
  readonly commandText: string;
  /** Text that describes the change once it is accepted. */
  readonly successText: string;
}

/**
 * Submits a change.
 * A resend must be the identical change, so `--change-id` requires `--base`. Otherwise a new base would be read, and a
 * change that was never accepted would silently overwrite what others changed since.
 */
export async function submitChange(
  context: ControlContext,
  request: ChangeRequest,
): Promise<ExitCode> {
  const { flags } = request;
  if (flags.changeId !== undefined && flags.base === undefined) {
    return context.output.fail(
      exitCodes.usage,
      '--change-id resends a change: give its --base too',
    );
  }
  const base = await findBase(context, request);
  if (typeof base !== 'number') {
    return base.exitCode;
  }
  return submitFrom(context, request, base);
}

async function submitFrom(
  context: ControlContext,
  request: ChangeRequest,
  baseRevision: number,
): Promise<ExitCode> {
  const { output, client, connection, environment } = context;
  const changeId = request.flags.changeId ?? environment.createChangeId();
  const at = environment.wall();
  const change = {
    ...request.content,
    changeId,
    baseRevision,
    operator: connection.operator,
    at,
  } as Change;
  const answer = await client.submit(change);
  if (answer.err) {
    const hints = createHints(request, answer.val.failure.code, changeId, baseRevision);
    return output.refuse(answer.val, { changeId, baseRevision }, hints);
  }
  const revision = answer.val;
  const text = `${request.successText}\nrevision ${revision} accepted (change id ${changeId}, base ${baseRevision})\n`;
  return output.succeed({ revision, changeId, baseRevision }, text);
}

interface BaseFailure {
  readonly exitCode: ExitCode;
}

async function findBase(
  context: ControlContext,
  request: ChangeRequest,
): Promise<number | BaseFailure> {
  const known = request.flags.base ?? request.readRevision;
  if (known !== undefined) {
    return known;
  }
  const view = await context.client.get('configuration');
  return view.ok ? view.val.revision : { exitCode: context.output.refuse(view.val) };
}

function createHints(
  request: ChangeRequest,
  code: string,
  changeId: string,
  base: number,
): readonly string[] {
  if (code === 'revisionConflict') {
    return [
      `to make it again: see what is in force (pistachiospoke get), then ${request.commandText} --base REVISION`,
    ];
  }
  if (code === 'noQuorum' || code === 'changeUncertain') {
    return [`to resend it: ${request.commandText} --change-id ${changeId} --base ${base}`];
  }
  return [];
}
