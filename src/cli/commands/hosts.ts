import type { HostView } from '../../control/state/index.js';
import { formatArtifact } from '../../model/index.js';
import type { ControlContext } from '../context.js';
import type { ExitCode } from '../exit-codes.js';
import { formatDuration, formatTable, sortByName } from '../table.js';

/** `hosts`: lists every host that has announced itself. */
export async function runHosts(context: ControlContext): Promise<ExitCode> {
  const view = await context.client.get('hosts');
  if (view.err) {
    return context.output.refuse(view.val);
  }
  const titles = [
    'host',
    'state',
    'group',
    'failure domain',
    'fabric domain',
    'upstream',
    'labels',
  ];
  const rows = sortByName(view.val.hosts, ({ host }) => host).map((host) => [
    host.host,
    formatState(host),
    host.group ?? '-',
    host.failureDomain,
    host.fabricDomain,
    formatUpstream(host),
    formatLabels(host),
  ]);
  return context.output.succeed(view.val, formatTable(titles, rows));
}

function formatState(host: HostView): string {
  if (!host.isPresent) {
    return `silent ${formatDuration(host.lastReportMilliseconds)}`;
  }
  const health = host.isHealthy ? 'healthy' : 'unhealthy';
  return host.isDraining ? `${health}, draining` : health;
}

function formatUpstream(host: HostView): string {
  switch (host.upstream?.type) {
    case undefined:
      return '-';
    case 'service':
      return `service ${host.upstream.service}`;
    case 'engine':
      return `engine ${host.upstream.loaded.map(formatArtifact).join(', ') || '(nothing loaded)'}`;
  }
}

function formatLabels(host: HostView): string {
  return Object.entries(host.labels)
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');
}
