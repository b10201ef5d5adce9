/** The two ends of a measurement, each in a process of its own, with a relay between them that counts bytes. */
import { setTimeout as sleep } from 'node:timers/promises';

import { reservePort, SwallowingRelay, waitFor } from '../../__tests__/support/index.js';
import {
  askUsage,
  fitSlope,
  formatFigure,
  formatMarkdownTable,
  startRole,
  type RoleProcess,
  type RoleUsage,
} from '../support/index.js';

export interface MeasureOptions {
  readonly sizes: readonly number[];
  /** Length of each quiet measurement. */
  readonly seconds: number;
}

export interface Pair {
  readonly server: RoleProcess;
  readonly client: RoleProcess;
  readonly relay: SwallowingRelay;
}

/** Names and options of the two roles. */
export interface PairRoles {
  readonly server: string;
  readonly serverOptions: readonly string[];
  readonly client: string;
  /** Connections that the client opens. */
  readonly connections: number;
}

/** What passed between two readings. */
export interface Interval {
  readonly seconds: number;
  /** Processor time of either end, in milliseconds. */
  readonly serverCpu: number;
  readonly clientCpu: number;
  /** Bytes over TCP in both directions, without the headers of TCP and IP. */
  readonly bytes: number;
  /** Readings at the end. */
  readonly server: RoleUsage;
  readonly client: RoleUsage;
}

/** A column of a table of slopes. */
export interface Column<Measurement> {
  readonly name: string;
  readonly read: (measurement: Measurement) => number;
}

/** Until connections are made, first states sent and code compiled. */
const settleMilliseconds = 3000;

/** Starts both ends, waits until all connections are open, and stops everything after the measurement. */
export async function withPair<Value>(
  roles: PairRoles,
  measure: (pair: Pair) => Promise<Value>,
): Promise<Value> {
  const address = `127.0.0.1:${await reservePort()}`;
  const server = await startRole(roles.server, [address, ...roles.serverOptions]);
  const relay = await SwallowingRelay.open(server.ready);
  const client = await startRole(roles.client, [relay.address, String(roles.connections)]);
  try {
    await waitFor('all connections', () => relay.openConnections >= roles.connections);
    await sleep(settleMilliseconds);
    return await measure({ server, client, relay });
  } finally {
    await client.stop();
    await server.stop();
    await relay.close();
  }
}

export function measureQuietly(pair: Pair, seconds: number): Promise<Interval> {
  return measureAround(pair, () => sleep(seconds * 1000));
}

export async function measureAround(pair: Pair, run: () => Promise<unknown>): Promise<Interval> {
  const serverBefore = await askUsage(pair.server);
  const clientBefore = await askUsage(pair.client);
  const bytesBefore = pair.relay.carriedBytes;
  const start = performance.now();
  await run();
  const seconds = (performance.now() - start) / 1000;
  const server = await askUsage(pair.server);
  const client = await askUsage(pair.client);
  return {
    seconds,
    serverCpu: server.cpuMilliseconds - serverBefore.cpuMilliseconds,
    clientCpu: client.cpuMilliseconds - clientBefore.cpuMilliseconds,
    bytes: pair.relay.carriedBytes - bytesBefore,
    server,
    client,
  };
}

/** A row for each size, and the straight line through them. */
export function formatSlopes<Measurement extends { readonly size: number }>(
  unit: string,
  measurements: readonly Measurement[],
  columns: readonly Column<Measurement>[],
): string {
  const rows = measurements.map((measurement) => [
    String(measurement.size),
    ...columns.map(({ read }) => formatFigure(read(measurement))),
  ]);
  const slopes = columns.map(({ read }) =>
    fitSlope(
      measurements.map((measurement) => ({ size: measurement.size, value: read(measurement) })),
    ),
  );
  return formatMarkdownTable(
    [unit, ...columns.map(({ name }) => name)],
    [
      ...rows,
      ['each further one', ...slopes.map(({ perUnit }) => formatFigure(perUnit))],
      ['at none', ...slopes.map(({ base }) => formatFigure(base))],
    ],
  );
}
