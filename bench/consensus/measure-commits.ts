import { build, type Histogram } from 'hdr-histogram-js';

import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';
import { ControlGroup, createClaim, type MeasuredHost } from './control-group.js';

const concurrencies = [1, 8, 64, 256];
const warmUpClaims = 200;

/** Claims a second at the leader and how long each took, with several submitters that wait for each answer. */
export async function measureCommits(seconds: number): Promise<string> {
  const control = await ControlGroup.start();
  try {
    const leader = await control.findLeader();
    await submitClaims(control, leader, 8, { claims: warmUpClaims, label: 'warm-up' });
    const rows: string[][] = [];
    for (const concurrency of concurrencies) {
      reportProgress(`commits: ${concurrency} submitters`);
      const limit = { seconds, label: `with ${concurrency}` };
      const { latency, elapsed, failures } = await submitClaims(
        control,
        leader,
        concurrency,
        limit,
      );
      rows.push([
        String(concurrency),
        formatFigure(latency.totalCount / elapsed),
        ...[50, 95, 99].map((percentile) =>
          formatFigure(latency.getValueAtPercentile(percentile) / 1000),
        ),
        String(failures),
      ]);
    }
    const header = ['submitters', 'commits/s', 'p50 ms', 'p95 ms', 'p99 ms', 'failures'];
    return formatMarkdownTable(header, rows);
  } finally {
    await control.stop();
  }
}

interface Limit {
  readonly claims?: number;
  readonly seconds?: number;
  /** Keeps the keys of two runs apart. */
  readonly label: string;
}

interface Submitted {
  readonly latency: Histogram;
  readonly elapsed: number;
  readonly failures: number;
}

async function submitClaims(
  control: ControlGroup,
  leader: MeasuredHost,
  concurrency: number,
  { claims = Infinity, seconds = Infinity, label }: Limit,
): Promise<Submitted> {
  const latency = build({ highestTrackableValue: 60_000_000 });
  const start = performance.now();
  let begun = 0;
  let failures = 0;
  const isOpen = (): boolean => begun < claims && performance.now() - start < seconds * 1000;
  const submit = async (): Promise<void> => {
    while (isOpen()) {
      begun += 1;
      const from = performance.now();
      const claim = createClaim(`${label} ${begun}`);
      if (!(await control.submit(leader, claim).catch(() => false))) {
        failures += 1;
      }
      latency.recordValue(Math.round((performance.now() - from) * 1000));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, submit));
  return { latency, elapsed: (performance.now() - start) / 1000, failures };
}
