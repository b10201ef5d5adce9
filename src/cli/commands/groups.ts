import type { GroupView } from '../../control/state/index.js';
import { formatArtifact } from '../../model/index.js';
import type { ControlContext } from '../context.js';
import type { ExitCode } from '../exit-codes.js';
import { formatTable, sortByName } from '../table.js';

/** `groups`: lists every placed group, and the healthy hosts in no group. */
export async function runGroups(context: ControlContext): Promise<ExitCode> {
  const view = await context.client.get('groups');
  if (view.err) {
    return context.output.refuse(view.val);
  }
  const { groups, strandedHosts } = view.val;
  const titles = ['group', 'state', 'fencing number', 'carries', 'members'];
  const rows = sortByName(groups, ({ name }) => name).map((group) => [
    group.name,
    formatState(group),
    String(group.fencingNumber),
    formatOffer(group),
    group.members.join(' '),
  ]);
  const serving = groups.filter((group) => group.isServing).length;
  const summary = `${serving} of ${groups.length} groups serving; healthy hosts in no group: ${[...strandedHosts].sort().join(' ') || 'none'}\n`;
  return context.output.succeed(view.val, `${formatTable(titles, rows)}\n${summary}`);
}

function formatState(group: GroupView): string {
  const missing = group.missing.length === 0 ? '' : ` (missing ${group.missing.join(' ')})`;
  const serving = group.isServing ? 'serving' : `not serving${missing}`;
  return group.isDraining ? `${serving}, draining` : serving;
}

function formatOffer(group: GroupView): string {
  switch (group.offer.type) {
    case 'model':
      return formatArtifact(group.offer.artifact);
    case 'service':
      return `service ${group.offer.service}`;
  }
}
