import { Err, Ok, type Result } from 'ts-results';

import {
  createFailure,
  findResultCodeName,
  type Clock,
  type Failure,
  type Milliseconds,
} from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import {
  ConsensusService,
  type SubmitResponse,
} from '../../generated/pistachiospoke/v1/control_pb.js';
import type { RpcClientPool } from '../../wire/index.js';
import type { ForwardedCalls } from '../forwarded-calls.js';
import {
  decodeCommandAnswer,
  formatCommand,
  type Command,
  type CommandAnswer,
} from '../state/index.js';

/** Submits commands to the leader of the replicated log, whichever control host received them. */

const forwardTimeout: Milliseconds = 5000;
/** Retry delay for callers while there is no quorum. An election takes about this long; an earlier retry would get the same answer. */
export const noQuorumRetryDelay: Milliseconds = 1000;

/** Options of the submitter. */
export interface CommandSubmitterOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  /** Address of a control host by its name. */
  readonly findAddress: (name: string) => string | undefined;
  readonly forwarded: ForwardedCalls;
}

export class CommandSubmitter {
  readonly #options: CommandSubmitterOptions;

  constructor(options: CommandSubmitterOptions) {
    this.#options = options;
  }

  /** Proposes locally if this host is the leader, otherwise forwards the command to the leader. */
  async submit(command: Command): Promise<Result<CommandAnswer, Failure>> {
    const view = this.#options.log.view();
    switch (view.type) {
      case 'leader':
        return this.proposeLocally(command);
      case 'follower':
        return this.#forward(command, view.leader);
      case 'leaderless':
        return new Err(createFailure('noQuorum', 'no leader', noQuorumRetryDelay));
    }
  }

  /** Proposes on this host only. Forwarded commands are handled with it, so that none is forwarded twice. */
  proposeLocally(command: Command): Promise<Result<CommandAnswer, Failure>> {
    const stamped = { ...command, at: this.#options.clock.wall() };
    return this.#options.log.propose(formatCommand(stamped));
  }

  async #forward(command: Command, leader: string): Promise<Result<CommandAnswer, Failure>> {
    const address = this.#options.findAddress(leader);
    if (address === undefined) {
      return new Err(createFailure('noQuorum', `leader ${leader} is unknown`, noQuorumRetryDelay));
    }
    const client = this.#options.clients.client(ConsensusService, address);
    try {
      const response = await this.#options.forwarded.measure('command', leader, () =>
        client.forward({ command: formatCommand(command) }, { timeoutMs: forwardTimeout }),
      );
      return decodeSubmitResponse(response);
    } catch (error) {
      // The leader may have received the command before the connection failed, so its outcome is unknown.
      return new Err(createFailure('changeUncertain', String(error), noQuorumRetryDelay));
    }
  }
}

function decodeSubmitResponse(response: SubmitResponse): Result<CommandAnswer, Failure> {
  const answer = decodeCommandAnswer(response.answer);
  if (answer !== undefined) {
    return new Ok(answer);
  }
  const code = findResultCodeName(response.resultCode);
  return new Err(createFailure(code, response.message, response.retryAfterMilliseconds));
}
