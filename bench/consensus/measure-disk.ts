import { mkdir, mkdtemp, rm } from 'node:fs/promises';
import { resolve } from 'node:path';

import { build } from 'hdr-histogram-js';

import { DataFolder, defaultLogFileBytes, hostFileSystem } from '../../src/storage/index.js';
import { formatFigure, formatMarkdownTable, reportProgress } from '../support/index.js';

const writes = 500;
const commandLength = 250;

/** One write and sync after the other, without anything else: what the disk allows. */
export async function measureDisk(): Promise<string> {
  await mkdir('run', { recursive: true });
  const path = await mkdtemp(resolve('run', 'bench-disk-'));
  const folder = new DataFolder({
    files: hostFileSystem,
    folder: path,
    name: 'bench',
    createStorageId: () => 'bench',
    logFileBytes: defaultLogFileBytes,
    notice: reportProgress,
  });
  try {
    await folder.open();
    await folder.write([{ type: 'hardState', hardState: { term: 1 } }]);
    const rows = [];
    let lastIndex = 0;
    for (const batch of [1, 64]) {
      reportProgress(`disk: batches of ${batch}`);
      const latency = build({ highestTrackableValue: 60_000_000 });
      for (let count = 0; count < writes; count += 1) {
        const entries = createEntries(lastIndex, batch);
        const from = performance.now();
        await folder.write([{ type: 'append', keepThrough: lastIndex, entries }]);
        latency.recordValue(Math.round((performance.now() - from) * 1000));
        lastIndex += batch;
      }
      const percentiles = [50, 95, 99].map((percentile) =>
        formatFigure(latency.getValueAtPercentile(percentile) / 1000),
      );
      rows.push([String(batch), ...percentiles]);
    }
    return formatMarkdownTable(['entries a batch', 'p50 ms', 'p95 ms', 'p99 ms'], rows);
  } finally {
    await folder.close();
    await rm(path, { recursive: true, force: true });
  }
}

function createEntries(lastIndex: number, count: number) {
  const command = 'x'.repeat(commandLength);
  return Array.from({ length: count }, (_, position) => ({
    index: lastIndex + 1 + position,
    term: 1,
    payload: { type: 'command' as const, command },
  }));
}
