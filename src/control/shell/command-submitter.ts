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
import { decodeCommandAnswer, type Command, type CommandAnswer } from '../state/index.js';

/** Brings commands to the leader of the replicated log, wherever they came in. */

const forwardTimeout: Milliseconds = 5000;
/** An election takes about this long; coming back sooner meets the same answer. */
export const retryWithoutQuorum: Milliseconds = 1000;

/** Options of the submitter. */
export interface CommandSubmitterOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly clients: RpcClientPool;
  readonly clock: Clock;
  /** Address of a control host by its name. */
  readonly findAddress: (name: string) => string | undefined;
}

export class CommandSubmitter {
  readonly #options: CommandSubmitterOptions;

  constructor(options: CommandSubmitterOptions) {
    this.#options = options;
  }

  /** Proposes here when this host leads, otherwise hands the command to the leader. */
  async submit(command: Command): Promise<Result<CommandAnswer, Failure>> {
    const view = this.#options.log.view();
    switch (view.type) {
      case 'leader':
        return this.proposeHere(command);
      case 'follower':
        return this.#forward(command, view.leader);
      case 'leaderless':
        return new Err(createFailure('noQuorum', 'no leader', retryWithoutQuorum));
    }
  }

  /** Proposes on this host only; a command is never handed on twice. */
  proposeHere(command: Command): Promise<Result<CommandAnswer, Failure>> {
    const stamped = { ...command, at: this.#options.clock.wall() };
    return this.#options.log.propose(JSON.stringify(stamped));
  }

  async #forward(command: Command, leader: string): Promise<Result<CommandAnswer, Failure>> {
    const address = this.#options.findAddress(leader);
    if (address === undefined) {
      return new Err(createFailure('noQuorum', `leader ${leader} is unknown`, retryWithoutQuorum));
    }
    const client = this.#options.clients.client(ConsensusService, address);
    try {
      const response = await client.forward(
        { command: JSON.stringify(command) },
        { timeoutMs: forwardTimeout },
      );
      return decodeSubmitResponse(response);
    } catch (error) {
      // The leader may have taken it before the connection broke, so this is not a definite no.
      return new Err(createFailure('changeUncertain', String(error), retryWithoutQuorum));
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
