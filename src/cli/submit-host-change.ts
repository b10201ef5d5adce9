import { createFailure } from '../common/index.js';
import type { ControlContext } from './context.js';
import type { ExitCode } from './exit-codes.js';
import { submitChange, type ChangeFlags, type ChangeRequest } from './submit-change.js';

/** Flags of the commands that change one host. */
export interface HostChangeFlags extends ChangeFlags {
  /** Also accept a host that has not announced itself. */
  readonly unannounced: boolean;
}

/** A change of one host. */
export interface HostChangeRequest extends Omit<ChangeRequest, 'flags' | 'readRevision'> {
  readonly host: string;
  readonly flags: HostChangeFlags;
}

/**
 * Submits a change of one host after checking that the host is known.
 * Control accepts any name, as hosts come and go. Without the check a mistyped name would be accepted and have no effect.
 */
export async function submitHostChange(
  context: ControlContext,
  request: HostChangeRequest,
): Promise<ExitCode> {
  if (request.flags.unannounced || request.flags.base !== undefined) {
    return submitChange(context, { ...request, readRevision: undefined });
  }
  const view = await context.client.get('hosts');
  if (view.err) {
    return context.output.refuse(view.val);
  }
  const { hosts, revision } = view.val;
  if (hosts.some(({ host }) => host === request.host)) {
    return submitChange(context, { ...request, readRevision: revision });
  }
  const failure = createFailure(
    'unknownHost',
    `"${request.host}" is not among the ${hosts.length} known hosts.`,
  );
  return context.output.refuse({ failure, winner: undefined, differences: [] });
}
