import { SimulatedCluster } from '../../__tests__/consensus/simulation/simulated-cluster.js';
import type { UntimedEvent } from '../../__tests__/consensus/simulation/simulated-host.js';
import {
  ConsensusCore,
  defaultTuning,
  formatMessage,
  parseMessage,
  type ConsensusMessage,
} from '../../src/consensus/core/index.js';
import { createRandomSource } from '../../src/common/index.js';
import { formatFigure, formatMarkdownTable } from '../support/index.js';

const steps = 20_000;
const entriesAMessage = 16;

/** What one event costs the core, without disk and network. */
export function measureSteps(): string {
  const cluster = new SimulatedCluster({ size: 3, seed: 1, mutation: 'none' });
  cluster.run(3000);
  const { leader } = cluster;
  const follower = cluster.hosts.find((host) => host !== leader);
  if (leader === undefined || follower === undefined) {
    throw new Error('no leader');
  }
  const handle = (host: typeof leader, event: UntimedEvent): void => {
    host.handle(cluster.now, event);
  };
  const rows = [
    time('idle tick of a follower', () => {
      handle(follower, { type: 'tick' });
    }),
    time('idle tick of a leader', () => {
      handle(leader, { type: 'tick' });
    }),
    time('heartbeat taken by a follower', () => {
      handle(follower, { type: 'received', from: leader.name, message: createHeartbeat(cluster) });
    }),
    timeAppends(),
    time('message to text and back, 16 entries', () => {
      parseMessage(formatMessage(createAppend(0)));
    }),
  ];
  return formatMarkdownTable(['step', 'microseconds'], rows);
}

function createHeartbeat(cluster: SimulatedCluster): ConsensusMessage {
  const { leader } = cluster;
  const view = leader?.core.view;
  return {
    ...createAppend(0),
    sender: leader?.core.self.storageId ?? '',
    term: view?.term ?? 0,
    previousIndex: 0,
    previousTerm: 0,
    entries: [],
    commitIndex: 0,
  };
}

/** A follower that takes entries, each message committing the one before. */
function timeAppends(): readonly [string, string] {
  const settings = {
    name: 'b',
    peers: ['a'],
    tuning: defaultTuning,
    random: createRandomSource(1),
  };
  const core = new ConsensusCore(settings, {
    storageId: 'b1',
    promisedTo: undefined,
    hardState: { term: 1 },
    snapshot: undefined,
    entries: [],
  });
  const messages = Array.from({ length: steps / entriesAMessage }, (_, position) =>
    createAppend(position * entriesAMessage),
  );
  const start = performance.now();
  for (const message of messages) {
    core.handle({ type: 'received', now: 1, from: 'a', message });
  }
  const microseconds = ((performance.now() - start) * 1000) / steps;
  return ['entry taken and committed by a follower, 16 a message', formatFigure(microseconds)];
}

function createAppend(previousIndex: number): Extract<ConsensusMessage, { type: 'append' }> {
  return {
    type: 'append',
    sender: 'a1',
    term: 1,
    round: 1,
    sentAt: 1,
    quorumAge: 0,
    previousIndex,
    previousTerm: previousIndex === 0 ? 0 : 1,
    entries: Array.from({ length: entriesAMessage }, (_, position) => ({
      index: previousIndex + 1 + position,
      term: 1,
      payload: { type: 'command', command: 'x'.repeat(250) },
    })),
    commitIndex: previousIndex,
  };
}

function time(name: string, step: () => void): readonly [string, string] {
  for (let count = 0; count < steps / 10; count += 1) {
    step();
  }
  const start = performance.now();
  for (let count = 0; count < steps; count += 1) {
    step();
  }
  const microseconds = ((performance.now() - start) * 1000) / steps;
  return [name, formatFigure(microseconds)];
}
