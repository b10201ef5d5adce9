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
import { exitCodes, type ExitCode } from '../exit-codes.js';

export interface BurnFlags {
  /** Internal addresses; those of the settings where left out. */
  readonly gateway: readonly string[] | undefined;
  /** File to write the page to. */
  readonly html: string | undefined;
}

const countersTimeout = 5000;

/** `report burn`: asks every gateway for its counters and shows how fast the objectives are being spent. */
export async function runReportBurn(context: ControlContext, flags: BurnFlags): Promise<ExitCode> {
  const { output, client, connection, environment } = context;
  const addresses = flags.gateway ?? connection.gateways;
  if (addresses.length === 0) {
    return output.fail(
      exitCodes.usage,
      'name the gateways: --gateway ip:port, or "gateways" in the settings',
    );
  }
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

async function askGateway(context: ControlContext, address: string): Promise<GatewayAnswer> {
  const client = context.clients.client(GatewayService, address);
  try {
    const { gateway, counters } = await client.counters({}, { timeoutMs: countersTimeout });
    return parseGatewayAnswer(gateway, counters);
  } catch (error) {
    return { type: 'noAnswer', gateway: address, reason: ConnectError.from(error).rawMessage };
  }
}
