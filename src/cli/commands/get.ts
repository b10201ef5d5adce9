import type { View } from '../control-client.js';
import type { ControlContext } from '../context.js';
import type { ExitCode } from '../exit-codes.js';
import { formatTime } from '../output.js';
import { formatDuration, formatTable, sortByName } from '../table.js';

export interface GetFlags {
  readonly inForce: boolean;
  readonly history: boolean;
}

/** `get`: shows the configuration in force, the accepted changes, or the revision each watcher has. */
export async function runGet(context: ControlContext, flags: GetFlags): Promise<ExitCode> {
  if (flags.inForce) {
    return showInForce(context);
  }
  const { output, client } = context;
  const view = await client.get('configuration');
  if (view.err) {
    return output.refuse(view.val);
  }
  const text = flags.history ? formatHistory(view.val) : formatConfiguration(view.val);
  return output.succeed(view.val, text);
}

/** A document that `apply` accepts. Its first line names the revision it was read at, which `apply` uses as the base. */
function formatConfiguration(view: View<'configuration'>): string {
  const document = JSON.stringify(view.configuration, undefined, 2);
  return `// revision ${view.revision}\n${document}\n`;
}

function formatHistory(view: View<'configuration'>): string {
  const rows = view.history.map((change) => [
    String(change.revision),
    formatTime(change.at),
    change.operator,
    change.changeId,
    change.summary,
  ]);
  return formatTable(['revision', 'at', 'operator', 'change id', 'summary'], rows);
}

/** Shows the control hosts even without a quorum, because that is when operators need to see them. */
async function showInForce(context: ControlContext): Promise<ExitCode> {
  const { output, client } = context;
  const [watchers, hosts] = await Promise.all([
    client.get('watchers'),
    client.getFromEach('control'),
  ]);
  const table = formatControlHosts(hosts);
  if (watchers.err) {
    return output.refuse(watchers.val, { control: hosts }, ['', table.trimEnd()]);
  }
  const { revision } = watchers.val;
  const behind = watchers.val.watchers.filter((watcher) => watcher.revision < revision).length;
  const value = { revision, behind, watchers: watchers.val.watchers, control: hosts };
  const summary = `revision ${revision} is in force; ${behind} of ${watchers.val.watchers.length} are behind\n`;
  return output.succeed(value, [summary, formatWatchers(watchers.val), table].join('\n'));
}

function formatWatchers(view: View<'watchers'>): string {
  const rows = [...sortByName(view.watchers, ({ watcher }) => watcher)]
    .sort((left, right) => left.revision - right.revision)
    .map((watcher) => [
      watcher.watcher,
      watcher.kind,
      String(watcher.revision),
      watcher.control ?? '-',
      `${formatDuration(watcher.lastSeenMilliseconds)} ago`,
    ]);
  return formatTable(['watcher', 'kind', 'revision', 'control host', 'seen'], rows);
}

type ControlHosts = readonly {
  readonly address: string;
  readonly view: View<'control'> | undefined;
}[];

function formatControlHosts(hosts: ControlHosts): string {
  const voters = findVoters(hosts);
  const rows = hosts.map(({ address, view }) =>
    view === undefined
      ? ['-', address, 'no answer']
      : [
          view.name,
          address,
          view.role,
          voters.includes(view.name) ? 'yes' : 'no',
          String(view.term),
          String(view.revision),
          String(view.index),
          formatDuration(view.stalenessMilliseconds),
        ],
  );
  const titles = [
    'control host',
    'address',
    'role',
    'votes',
    'term',
    'revision',
    'index',
    'staleness',
  ];
  return formatTable(titles, rows);
}

/** The voters according to the leader of the newest term, or the host with the newest term if no leader answers. */
function findVoters(hosts: ControlHosts): readonly string[] {
  const views = hosts.flatMap(({ view }) => view ?? []);
  const newest = [...views].sort((left, right) => right.term - left.term);
  const known = newest.find((view) => view.role === 'leader') ?? newest[0];
  return known?.voters.map(({ name }) => name) ?? [];
}
