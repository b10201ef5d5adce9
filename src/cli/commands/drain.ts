import type { ControlContext } from '../context.js';
import type { ExitCode } from '../exit-codes.js';
import { submitHostChange, type HostChangeFlags } from '../submit-host-change.js';

/** `drain HOST`: takes a host out of service once its in-flight work ends, or puts it back. */
export async function runDrain(
  context: ControlContext,
  host: string,
  isDraining: boolean,
  flags: HostChangeFlags,
): Promise<ExitCode> {
  return submitHostChange(context, {
    host,
    content: { type: 'setHostDrain', host, isDraining },
    flags,
    commandText: `pistachiospoke drain ${host}${isDraining ? '' : ' --undo'}`,
    successText: isDraining
      ? `host ${host} drains; watch it with: pistachiospoke hosts`
      : `host ${host} may serve again`,
  });
}
