import { build } from 'hdr-histogram-js';

import { createEntropySource, systemClock } from '../../src/common/index.js';
import {
  createConsensusNode,
  defaultSnapshotInterval,
  type ConsensusNode,
  type ConsensusPeer,
  type StateMachine,
} from '../../src/consensus/index.js';
import { ConsensusService } from '../../src/generated/pistachiospoke/v1/control_pb.js';
import { createRpcServer } from '../../src/wire/index.js';
import { announceReady, reportProgress } from '../support/index.js';

export const logRoleName = 'log-host';

/** What a log host is started with. */
export interface LogRoleSettings {
  readonly name: string;
  readonly listen: string;
  readonly peers: readonly ConsensusPeer[];
  readonly dataFolder: string;
}

/** A load that a log host puts on itself. */
export interface LogLoad {
  readonly submitters: number;
  readonly seconds: number;
}

export interface LogLoadResult {
  readonly commitsPerSecond: number;
  readonly percentiles: readonly number[];
  readonly failures: number;
}

const commandLength = 250;

/** Counts commands; costs nothing, so that the log alone is measured. */
class CountingMachine implements StateMachine<number> {
  #count = 0;

  apply(): number {
    this.#count += 1;
    return this.#count;
  }

  takeSnapshot(): string {
    return String(this.#count);
  }

  restoreSnapshot(_index: number, snapshot: string): void {
    this.#count = Number(snapshot);
  }
}

/** A replicated log without the rest of the control process. */
export async function runLogRole(settings: LogRoleSettings): Promise<void> {
  const node = createConsensusNode({
    ...settings,
    machine: new CountingMachine(),
    heartbeat: 100,
    election: 800,
    commitTimeout: 5000,
    snapshotInterval: defaultSnapshotInterval,
    clock: systemClock,
    random: createEntropySource(),
    observer: {
      notice: reportProgress,
      opened: () => undefined,
      termCommitted: () => undefined,
      leadershipChanged: () => undefined,
      failed: (failure) => {
        reportProgress(failure.detail);
        process.exit(1);
      },
    },
  });
  const server = createRpcServer({
    address: settings.listen,
    routes: (router) =>
      router.service(ConsensusService, {
        exchange: async (envelopes) => {
          await node.handleExchange(envelopes);
          return {};
        },
      }),
  });
  await server.open();
  await node.open();
  announceReady(settings.listen, async (question) => {
    if (question === 'view') {
      return node.view().type;
    }
    return JSON.stringify(await runLoad(node, JSON.parse(question) as LogLoad));
  });
}

async function runLoad(node: ConsensusNode<number>, load: LogLoad): Promise<LogLoadResult> {
  const latency = build({ highestTrackableValue: 60_000_000 });
  const command = JSON.stringify('x'.repeat(commandLength));
  const start = performance.now();
  const end = start + load.seconds * 1000;
  let failures = 0;
  const submit = async (): Promise<void> => {
    while (performance.now() < end) {
      const from = performance.now();
      const result = await node.propose(command);
      failures += result.ok ? 0 : 1;
      latency.recordValue(Math.round((performance.now() - from) * 1000));
    }
  };
  await Promise.all(Array.from({ length: load.submitters }, submit));
  return {
    commitsPerSecond: (latency.totalCount / (performance.now() - start)) * 1000,
    percentiles: [50, 95, 99].map((percentile) => latency.getValueAtPercentile(percentile) / 1000),
    failures,
  };
}
