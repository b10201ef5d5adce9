import fc from 'fast-check';

import { InvariantViolation } from './history.js';
import { SimulatedCluster, type ClusterOptions, type Mutation } from './simulated-cluster.js';

/** One step of a schedule; `host` and `position` are taken modulo the number of hosts or messages. */
export type Step =
  | { readonly type: 'run'; readonly milliseconds: number }
  | { readonly type: 'advance'; readonly milliseconds: number }
  | { readonly type: 'deliver' | 'duplicate' | 'drop'; readonly position: number }
  | { readonly type: 'sync'; readonly host: number; readonly count: number }
  | {
      readonly type: 'crash';
      readonly host: number;
      readonly kept: number;
      readonly keepsHardState: boolean;
    }
  | { readonly type: HostStep; readonly host: number };

type HostStep =
  | 'propose'
  | 'proposeToLeader'
  | 'read'
  | 'snapshot'
  | 'start'
  | 'wipe'
  | 'freeze'
  | 'thaw'
  | 'cut'
  | 'resign'
  | 'join'
  | 'remove'
  | 'admit';

export interface Schedule {
  readonly options: ClusterOptions;
  readonly steps: readonly Step[];
}

const host = fc.nat(4);
const position = fc.nat(50);
const hostStep = (type: HostStep): fc.Arbitrary<Step> =>
  fc.record({ type: fc.constant(type), host });
const messageStep = (type: 'deliver' | 'duplicate' | 'drop'): fc.Arbitrary<Step> =>
  fc.record({ type: fc.constant(type), position });

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant('run' as const), milliseconds: fc.nat(1500) }),
  },
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant('advance' as const), milliseconds: fc.nat(1200) }),
  },
  { weight: 14, arbitrary: messageStep('deliver') },
  { weight: 2, arbitrary: messageStep('duplicate') },
  { weight: 3, arbitrary: messageStep('drop') },
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant('sync' as const), host, count: fc.nat(3) }),
  },
  { weight: 8, arbitrary: hostStep('proposeToLeader') },
  { weight: 2, arbitrary: hostStep('propose') },
  { weight: 3, arbitrary: hostStep('read') },
  { weight: 2, arbitrary: hostStep('snapshot') },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('crash' as const),
      host,
      kept: fc.nat(3),
      keepsHardState: fc.boolean(),
    }),
  },
  { weight: 4, arbitrary: hostStep('start') },
  { weight: 1, arbitrary: hostStep('wipe') },
  { weight: 2, arbitrary: hostStep('freeze') },
  { weight: 2, arbitrary: hostStep('thaw') },
  { weight: 2, arbitrary: hostStep('cut') },
  { weight: 2, arbitrary: hostStep('join') },
  { weight: 1, arbitrary: hostStep('resign') },
  { weight: 1, arbitrary: hostStep('remove') },
  { weight: 1, arbitrary: hostStep('admit') },
);

/** Generates schedules that start with an elected leader, so that all their steps have an effect. */
export function createScheduleArbitrary(mutation: Mutation): fc.Arbitrary<Schedule> {
  return fc.record({
    options: fc.record({
      size: fc.constantFrom(3, 3, 3, 5),
      seed: fc.nat(0x7fff),
      mutation: fc.constant(mutation),
    }),
    steps: fc
      .array(step, { minLength: 10, maxLength: 60, size: 'max' })
      .map((steps) => [{ type: 'run', milliseconds: 2500 }, ...steps] as const),
  });
}

/** Runs a schedule, ends all faults and checks the outcome; throws an InvariantViolation if a check fails. */
export function runSchedule({ options, steps }: Schedule): SimulatedCluster {
  const cluster = new SimulatedCluster(options);
  for (const next of steps) {
    executeStep(cluster, next);
  }
  cluster.checkLogs();
  finish(cluster, steps);
  return cluster;
}

/** Ends all faults. Unless disks were wiped or members changed, the cluster must then accept a change again. */
function finish(cluster: SimulatedCluster, steps: readonly Step[]): void {
  cluster.heal();
  cluster.run(6000);
  const { leader } = cluster;
  const mayBeStuck = steps.some(({ type }) => ['wipe', 'remove', 'admit'].includes(type));
  if (leader === undefined) {
    if (mayBeStuck) {
      return;
    }
    throw new InvariantViolation('no leader without faults');
  }
  const value = cluster.propose(leader);
  cluster.run(1000);
  cluster.checkLogs();
  if (cluster.history.answeredValues.includes(value)) {
    cluster.history.checkOutcome(leader.machine.values);
  } else if (!mayBeStuck) {
    throw new InvariantViolation('no answer without faults');
  }
}

function executeStep(cluster: SimulatedCluster, next: Step): void {
  switch (next.type) {
    case 'run':
      cluster.run(next.milliseconds);
      return;
    case 'advance':
      cluster.advance(next.milliseconds);
      return;
    case 'deliver':
    case 'duplicate':
    case 'drop':
      cluster[next.type](next.position);
      return;
    case 'sync':
      cluster.sync(cluster.hostAt(next.host), next.count);
      return;
    case 'crash':
      cluster.crash(cluster.hostAt(next.host), next.kept, next.keepsHardState);
      return;
    case 'propose':
    case 'proposeToLeader':
    case 'read':
    case 'snapshot':
    case 'start':
    case 'wipe':
    case 'freeze':
    case 'thaw':
    case 'cut':
    case 'resign':
    case 'join':
    case 'remove':
    case 'admit':
      executeHostStep(cluster, next.type, next.host);
      return;
  }
}

function executeHostStep(cluster: SimulatedCluster, type: HostStep, position: number): void {
  const target = cluster.hostAt(position);
  switch (type) {
    case 'propose':
      cluster.propose(target);
      return;
    case 'proposeToLeader':
      cluster.propose(cluster.leader ?? target);
      return;
    case 'read':
      cluster.read(cluster.leader ?? target);
      return;
    case 'snapshot':
      cluster.takeSnapshot(target);
      return;
    case 'start':
      cluster.start(target);
      return;
    case 'wipe':
      cluster.wipe(target);
      return;
    case 'freeze':
      target.condition = target.condition === 'running' ? 'frozen' : target.condition;
      return;
    case 'thaw':
      target.condition = target.condition === 'frozen' ? 'running' : target.condition;
      return;
    case 'cut':
      target.isPartitioned = true;
      return;
    case 'resign':
      cluster.handle(target, { type: 'resignRequested' });
      return;
    case 'join':
      target.isPartitioned = false;
      return;
    case 'remove':
    case 'admit':
      changeMembers(cluster, type, target.name, target.core.self.storageId);
      return;
  }
}

function changeMembers(
  cluster: SimulatedCluster,
  type: 'remove' | 'admit',
  name: string,
  storageId: string,
): void {
  const { leader } = cluster;
  if (leader !== undefined) {
    const change = type === 'remove' ? { type, name } : { type, member: { name, storageId } };
    cluster.handle(leader, { type: 'membershipRequested', requestId: 1, change });
  }
}
