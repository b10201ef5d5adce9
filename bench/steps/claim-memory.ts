/** What claims of idempotency keys take in the memory of a control host and in its snapshots. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { ControlStateMachine } from '../../src/control/state/index.js';
import { formatFigure, formatMarkdownTable } from '../support/index.js';
import { createClaim } from './control-steps.js';

const claimCount = 200_000;

/** A table of one row. */
export function measureClaimMemory(): string {
  const collect = createCollector();
  const machine = new ControlStateMachine();
  const before = readHeap(collect);
  for (let turn = 0; turn < claimCount; turn += 1) {
    machine.apply(turn + 1, JSON.stringify(createClaim(turn)));
  }
  const heap = readHeap(collect) - before;
  const start = performance.now();
  const snapshot = machine.takeSnapshot();
  const milliseconds = performance.now() - start;
  return formatMarkdownTable(
    ['claims held', 'heap bytes each', 'snapshot bytes each', 'ms to take the snapshot'],
    [
      [
        String(claimCount),
        formatFigure(heap / claimCount),
        formatFigure(snapshot.length / claimCount),
        formatFigure(milliseconds),
      ],
    ],
  );
}

function readHeap(collect: () => void): number {
  collect();
  return process.memoryUsage().heapUsed;
}

/** The collection that Node offers behind a flag only. */
function createCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
