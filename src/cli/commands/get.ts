import type { View } from '../control-client.js';
import type { ControlContext } from '../context.js';
import type { ExitCode } from '../exit-codes.js';
import { formatTime } from '../output.js';
import { formatDuration, formatTable, sortByName } from '../table.js';

export interface GetFlags {
  readonly inForce: boolean;
  readonly history: boolean;
}

/** `get`: the configuration in force, the accepted changes, or who has which revision. */
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

/** A document that `apply` takes again; its first line names the revision that the edit is made from. */
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

async function showInForce(context: ControlContext): Promise<ExitCode> {
  const { output, client } = context;
  const watchers = await client.get('watchers');
  if (watchers.err) {
    return output.refuse(watchers.val);
  }
  const hosts = await client.getFromEach('control');
  const { revision } = watchers.val;
  const behind = watchers.val.watchers.filter((watcher) => watcher.revision < revision);
  const value = {
    revision,
    behind: behind.length,
    watchers: watchers.val.watchers,
    control: hosts,
  };
  const text = [
    `revision ${revision} is in force; ${behind.length} of ${watchers.val.watchers.length} are behind\n`,
    formatWatchers(watchers.val),
    formatControlHosts(hosts),
  ].join('\n');
  return output.succeed(value, text);
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
  const rows = hosts.map(({ address, view }) =>
    view === undefined
      ? ['-', address, 'no answer']
      : [
          view.name,
          address,
          view.role,
          String(view.term),
          String(view.revision),
          String(view.index),
          formatDuration(view.stalenessMilliseconds),
        ],
  );
  const titles = ['control host', 'address', 'role', 'term', 'revision', 'index', 'staleness'];
  return formatTable(titles, rows);
}
