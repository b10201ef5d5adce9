import { Err, Ok, type Result } from 'ts-results';

import type { Failure } from '../../common/index.js';
import type { CommandSubmitter } from '../shell/command-submitter.js';
import { checkCommand, type Command, type CommandAnswer } from '../state/index.js';

/** Batches changes known to the leader into entries of the replicated log. */

interface Waiting<Item> {
  readonly item: Item;
  readonly resolve: (result: Result<undefined, Failure>) => void;
}

export type CommandProposer = Pick<CommandSubmitter, 'proposeLocally'>;

/** Proposes one command at a time; items that arrive while it is in progress are batched into the next command. */
export class CommandBatcher<Item> {
  readonly #proposer: CommandProposer;
  readonly #createCommand: (items: readonly Item[]) => Command;
  #waiting: Waiting<Item>[] = [];
  #isProposing = false;

  constructor(proposer: CommandProposer, createCommand: (items: readonly Item[]) => Command) {
    this.#proposer = proposer;
    this.#createCommand = createCommand;
  }

  /**
   * Resolves when the command containing the item has been applied. Fails if the item makes no valid command, if the command is refused, or
   * if its commit cannot be confirmed.
   */
  propose(item: Item): Promise<Result<undefined, Failure>> {
    // The state machine refuses a command as a whole, with all that was batched beside an invalid item.
    const checked = checkCommand(this.#createCommand([item]));
    if (checked.err) {
      return Promise.resolve(checked);
    }
    return new Promise((resolve) => {
      this.#waiting.push({ item, resolve });
      if (!this.#isProposing) {
        void this.#proposeAll();
      }
    });
  }

  async #proposeAll(): Promise<void> {
    this.#isProposing = true;
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      const command = this.#createCommand(batch.map(({ item }) => item));
      const answer = await this.#proposer.proposeLocally(command);
      const result = answer.andThen(readAnswer);
      batch.forEach(({ resolve }) => {
        resolve(result);
      });
    }
    this.#isProposing = false;
  }
}

function readAnswer(answer: CommandAnswer): Result<undefined, Failure> {
  return answer.type === 'refused' ? new Err(answer.failure) : new Ok(undefined);
}
