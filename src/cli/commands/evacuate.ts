import type { EvacuationAction, EvacuationView } from '../../control/state/index.js';
import type { ControlContext } from '../context.js';
import type { ExitCode } from '../exit-codes.js';
import { formatTime } from '../output.js';
import { formatTable, sortByName } from '../table.js';

/** `evacuate DOMAIN`: asks that nothing more be sent to the upstreams of a failure domain, or revokes that. */
export async function runEvacuate(
  context: ControlContext,
  failureDomain: string,
  action: EvacuationAction,
): Promise<ExitCode> {
  const result = await context.client.orderEvacuation(failureDomain, action);
  if (result.err) {
    return context.output.refuse(result.val, { failureDomain, action });
  }
  const isChanged = result.val;
  const text = describeOrder(failureDomain, action, isChanged);
  return context.output.succeed({ failureDomain, action, isChanged }, `${text}\n`);
}

function describeOrder(
  failureDomain: string,
  action: EvacuationAction,
  isChanged: boolean,
): string {
  switch (action) {
    case 'start':
      return isChanged
        ? `failure domain ${failureDomain} is being evacuated; watch it with: pistachiospoke evacuations`
        : `failure domain ${failureDomain} was already being evacuated`;
    case 'end':
      return isChanged
        ? `the evacuation of failure domain ${failureDomain} has ended; its upstreams get requests again`
        : `failure domain ${failureDomain} was not evacuated`;
  }
}

/** `evacuations`: lists the evacuations in force, and what is left in each domain. */
export async function runEvacuations(context: ControlContext): Promise<ExitCode> {
  const view = await context.client.get('evacuations');
  if (view.err) {
    return context.output.refuse(view.val);
  }
  const titles = ['failure domain', 'since', 'requests', 'state', 'groups'];
  const rows = sortByName(view.val.evacuations, ({ failureDomain }) => failureDomain).map(
    (evacuation) => [
      evacuation.failureDomain,
      formatTime(evacuation.startedAt),
      String(evacuation.requests),
      formatState(evacuation),
      evacuation.groups.join(' ') || '-',
    ],
  );
  const text = rows.length === 0 ? 'no failure domain is evacuated\n' : formatTable(titles, rows);
  return context.output.succeed(view.val, text);
}

function formatState({ waitsFor }: EvacuationView): string {
  return waitsFor.length === 0 ? 'done' : `waits for ${waitsFor.join(', ')}`;
}
