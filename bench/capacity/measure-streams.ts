/** What one more lease stream costs, and what streamed tokens cost by the size of their frames. */
import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';
import {
  formatSlopes,
  measureAround,
  withPair,
  type Interval,
  type MeasureOptions,
} from './pair.js';
import { tokenInterval } from './token-roles.js';

interface StreamMeasurement {
  readonly size: number;
  readonly interval: Interval;
  /** Messages that reached the client in the interval. */
  readonly messages: number;
}

/** Tokens of one answer in one frame. */
const batches = [1, 2, 4, 8, 24] as const;

/** Two questions and two answers a second on each stream. */
export function measureLeases(options: MeasureOptions): Promise<string> {
  return measureLeaseStreams('lease-lead', 'lease streams', options);
}

/** As many questions a second as a lead asks that confirms its group before each attempt at the peak. */
export function measureConfirmations(options: MeasureOptions): Promise<string> {
  return measureLeaseStreams('confirming-lead', 'confirming streams', options);
}

async function measureLeaseStreams(
  client: string,
  unit: string,
  options: MeasureOptions,
): Promise<string> {
  const measurements: StreamMeasurement[] = [];
  for (const size of options.sizes) {
    reportProgress(`${size} ${unit}`);
    const roles = { server: 'lease-member', serverOptions: [], client };
    measurements.push(await measureStreams({ ...roles, connections: size }, options.seconds));
  }
  return formatSlopes(unit, measurements, [
    { name: 'members CPU ms/s', read: ({ interval }) => interval.serverCpu / interval.seconds },
    { name: 'lead CPU ms/s', read: ({ interval }) => interval.clientCpu / interval.seconds },
    { name: 'bytes/s', read: ({ interval }) => interval.bytes / interval.seconds },
    { name: 'answers/s', read: ({ messages, interval }) => messages / interval.seconds },
    { name: 'members heap MB', read: ({ interval }) => interval.server.heapMegabytes },
    { name: 'lead heap MB', read: ({ interval }) => interval.client.heapMegabytes },
  ]);
}

/** Answers that all get a token every 42 ms, in frames of several sizes. */
export async function measureTokens(options: MeasureOptions): Promise<string> {
  const size = Math.max(...options.sizes);
  const rows: string[][] = [];
  for (const batch of batches) {
    reportProgress(`${size} answers, ${batch} tokens a frame`);
    const roles = {
      server: 'token-server',
      serverOptions: [String(batch)],
      client: 'token-client',
    };
    const measured = await measureStreams({ ...roles, connections: size }, options.seconds);
    rows.push(createTokenRow(measured, batch));
  }
  const header = ['tokens a frame', 'answers', 'tokens/s', 'frames/s', 'added ms'];
  const costs = [
    'sender CPU us/frame',
    'reader CPU us/frame',
    'sender us/token',
    'reader us/token',
  ];
  return formatMarkdownTable([...header, ...costs, 'bytes/token'], rows);
}

async function measureStreams(
  roles: Parameters<typeof withPair>[0],
  seconds: number,
): Promise<StreamMeasurement> {
  return withPair(roles, async (pair) => {
    const before = Number(await pair.client.ask('count'));
    const interval = await measureAround(
      pair,
      () => new Promise((resolve) => setTimeout(resolve, seconds * 1000)),
    );
    const messages = Number(await pair.client.ask('count')) - before;
    return { size: roles.connections, interval, messages };
  });
}

function createTokenRow({ size, interval, messages }: StreamMeasurement, batch: number): string[] {
  const tokens = messages * batch;
  const perFrame = (cpu: number): string => formatFigure((cpu * 1000) / messages);
  const perToken = (cpu: number): string => formatFigure((cpu * 1000) / tokens);
  return [
    String(batch),
    String(size),
    formatFigure(tokens / interval.seconds),
    formatFigure(messages / interval.seconds),
    formatFigure((batch - 1) * tokenInterval),
    perFrame(interval.serverCpu),
    perFrame(interval.clientCpu),
    perToken(interval.serverCpu),
    perToken(interval.clientCpu),
    formatFigure(interval.bytes / tokens),
  ];
}
