import { Err, Ok, type Result } from 'ts-results';

import {
  createFailure,
  findResultCodeName,
  type Failure,
  type Milliseconds,
  type RandomSource,
} from '../common/index.js';
import { ControlService } from '../generated/pistachiospoke/v1/control_pb.js';
import type { RpcClientPool } from '../wire/index.js';
import { decodeCommandAnswer, type Command, type CommandAnswer } from './state/index.js';

/** Submits commands from gateways to one control host, and to the others if it cannot answer. */

export interface ControlClientOptions {
  readonly control: readonly string[];
  readonly clients: RpcClientPool;
  /** Timeout of the call to one control host. */
  readonly timeout: Milliseconds;
  readonly random: RandomSource;
}

export class ControlClient {
  readonly #options: ControlClientOptions;
  #preferred: number;

  constructor(options: ControlClientOptions) {
    this.#options = options;
    this.#preferred = options.random.integerBelow(options.control.length);
  }

  /**
   * Resolves with the first definite answer, or with the last failure if no control host gives one.
   * A command may be appended to the log twice, so only commands that are idempotent by their own identifier may be submitted.
   */
  async submit(command: Command): Promise<Result<CommandAnswer, Failure>> {
    const { control } = this.#options;
    let failure = createFailure('noQuorum', 'no control host answered');
    for (const address of rotate(control, this.#preferred)) {
      const result = await this.#submitTo(address, command);
      if (result.ok) {
        return result;
      }
      failure = result.val;
      this.#preferred += 1;
    }
    return new Err(failure);
  }

  async #submitTo(address: string, command: Command): Promise<Result<CommandAnswer, Failure>> {
    const { clients, timeout } = this.#options;
    try {
      const response = await clients
        .client(ControlService, address)
        .submit({ command: JSON.stringify(command) }, { timeoutMs: timeout });
      const answer = decodeCommandAnswer(response.answer);
      if (answer !== undefined) {
        return new Ok(answer);
      }
      const code = findResultCodeName(response.resultCode);
      return new Err(createFailure(code, response.message, response.retryAfterMilliseconds));
    } catch (error) {
      // The connection may be dead without having been closed, so the next call uses a new one.
      clients.retire(address);
      return new Err(createFailure('changeUncertain', String(error)));
    }
  }
}

function rotate(addresses: readonly string[], turn: number): readonly string[] {
  const first = turn % addresses.length;
  return [...addresses.slice(first), ...addresses.slice(0, first)];
}
