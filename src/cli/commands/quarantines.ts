import type { ControlContext } from '../context.js';
import type { ExitCode } from '../exit-codes.js';
import { formatTime } from '../output.js';
import { formatTable, sortByName } from '../table.js';

/** `quarantines`: lists what gateways do not send because upstreams crashed while it ran. */
export async function runQuarantines(context: ControlContext): Promise<ExitCode> {
  const view = await context.client.get('quarantines');
  if (view.err) {
    return context.output.refuse(view.val);
  }
  const titles = ['subject', 'first crash', 'last crash', 'trials', 'crashed upstreams'];
  const rows = sortByName(view.val.quarantines, ({ subject }) => subject).map((quarantine) => [
    quarantine.subject,
    quarantine.since === null ? '-' : formatTime(quarantine.since),
    formatTime(quarantine.lastCrash),
    String(quarantine.trials),
    quarantine.upstreams.join(' '),
  ]);
  const text = rows.length === 0 ? 'nothing is quarantined\n' : formatTable(titles, rows);
  return context.output.succeed(view.val, text);
}

/** `release SUBJECT`: lets gateways send a quarantined subject again. */
export async function runRelease(context: ControlContext, subject: string): Promise<ExitCode> {
  const { operator } = context.connection;
  const result = await context.client.releaseSubject(subject, operator);
  if (result.err) {
    return context.output.refuse(result.val, { subject });
  }
  const isChanged = result.val;
  const text = isChanged
    ? `${subject} is released; it is quarantined again after three more crashes`
    : `${subject} was not quarantined`;
  return context.output.succeed({ subject, isChanged }, `${text}\n`);
}
