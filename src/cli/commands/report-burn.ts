import { writeFileSync } from 'node:fs';

import { ConnectError } from '@connectrpc/connect';

import { GatewayService } from '../../generated/pistachiospoke/v1/control_pb.js';
import {
  createBurnReport,
  formatBurnJson,
  formatBurnPage,
  formatBurnTable,
  parseGatewayAnswer,
  type GatewayAnswer,
} from '../../report/index.js';
import type { ControlContext } from '../context.js';
import type { View } from '../control-client.js';
import type { ExitCode } from '../exit-codes.js';

export interface BurnFlags {
  /** Internal addresses of gateways. Defaults to the gateways that control knows. */
  readonly gateway: readonly string[] | undefined;
  /** File to write the HTML page to. */
  readonly html: string | undefined;
}

const countersTimeout = 5000;

/** `report burn`: collects the counters of every gateway and shows the burn rates of the objectives. */
export async function runReportBurn(context: ControlContext, flags: BurnFlags): Promise<ExitCode> {
  const { output, client, environment } = context;
  const watchers = await client.get('watchers');
  if (watchers.err) {
    return output.refuse(watchers.val);
  }
  const addresses = flags.gateway ?? findGateways(watchers.val);
  const view = await client.get('configuration');
  if (view.err) {
    return output.refuse(view.val);
  }
  const gateways = await Promise.all(addresses.map((address) => askGateway(context, address)));
  const { objectives } = view.val.configuration;
  const report = createBurnReport({ at: environment.wall(), objectives, gateways });
  if (flags.html !== undefined) {
    writeFileSync(flags.html, formatBurnPage(report));
  }
  return output.succeed(JSON.parse(formatBurnJson(report)), formatBurnTable(report));
}

function findGateways(view: View<'watchers'>): readonly string[] {
  return view.watchers
    .filter((watcher) => watcher.kind === 'gateway')
    .flatMap((watcher) => watcher.address ?? []);
}

async function askGateway(context: ControlContext, address: string): Promise<GatewayAnswer> {
  const client = context.clients.client(GatewayService, address);
  try {
    const { gateway, counters } = await client.counters({}, { timeoutMs: countersTimeout });
    return parseGatewayAnswer(gateway, counters);
  } catch (error) {
    return { type: 'noAnswer', gateway: address, reason: ConnectError.from(error).rawMessage };
  }
}
