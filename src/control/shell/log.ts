import type { Logger } from 'pino';

import {
  createEntropySource,
  findResultCode,
  formatFailure,
  type Clock,
} from '../../common/index.js';
import {
  createConsensusNode,
  defaultSnapshotInterval,
  type ConsensusNode,
  type LeadershipView,
  type StateMachine,
} from '../../consensus/index.js';
import { findControlAddress, type ControlSettings } from '../../settings/index.js';
import type { CommandAnswer } from '../state/index.js';

/** Creates the replicated log of a control host from its settings. */

/** Exit code of a process whose log can no longer be trusted. */
const logFailedExitCode = 70;

export type ControlLog = ConsensusNode<CommandAnswer>;

/** Options of the log. */
export interface ControlLogOptions {
  readonly settings: ControlSettings;
  readonly machine: StateMachine<CommandAnswer>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onLeadership: (view: LeadershipView) => void;
}

export function createControlLog({
  settings,
  machine,
  clock,
  logger,
  onLeadership,
}: ControlLogOptions): ControlLog {
  const { name, voters, dataFolder, timeouts } = settings;
  return createConsensusNode({
    name,
    peers: voters.filter((voter) => voter.name !== name),
    findAddress: (other) => findControlAddress(settings, other),
    dataFolder,
    machine,
    heartbeat: timeouts.heartbeatMilliseconds,
    election: timeouts.electionMilliseconds,
    commitTimeout: timeouts.commitMilliseconds,
    snapshotInterval: defaultSnapshotInterval,
    clock,
    random: createEntropySource(),
    observer: {
      notice: (message) => {
        logger.warn(message);
      },
      opened: ({ duration, ...log }) => {
        logger.info({ ...log, duration: Math.round(duration) }, 'replicated log opened');
      },
      termCommitted: ({ duration, ...committed }) => {
        logger.info({ ...committed, duration: Math.round(duration) }, 'leader can confirm reads');
      },
      leadershipChanged: (view) => {
        logger.info({ view }, 'leadership changed');
        onLeadership(view);
      },
      failed: (failure) => {
        const { advice } = findResultCode(failure);
        logger.fatal({ code: failure.code, advice }, formatFailure(failure));
        process.exit(logFailedExitCode);
      },
    },
  });
}
