import { Code, ConnectError, type Client } from '@connectrpc/connect';
import { Err, Ok, type Result } from 'ts-results';

import {
  createFailure,
  findResultCodeName,
  resultCodes,
  type Failure,
  type Milliseconds,
} from '../../common/index.js';
import { RoutingService } from '../../generated/pistachiospoke/v1/routing_pb.js';
import type { Announcement } from '../../routing/index.js';
import type { RpcClientPool } from '../../wire/index.js';
import type { ForwardedCalls } from '../forwarded-calls.js';

/** Forwards calls of operators and instances to the leader. */

/** A runner asks another control host after a second without an answer. */
const announceTimeout: Milliseconds = 800;
/** Gateways that start wait for this call; another control host may answer them sooner. */
const confirmTimeout: Milliseconds = 500;

/** Options of the leader client. */
export interface LeaderClientOptions {
  readonly clients: RpcClientPool;
  readonly findAddress: (name: string) => string | undefined;
  readonly forwarded: ForwardedCalls;
}

interface Target {
  readonly leader: string;
  readonly address: string;
}

interface CallAnswer {
  readonly resultCode: number;
  readonly message: string;
}

export class LeaderClient {
  readonly #options: LeaderClientOptions;

  constructor(options: LeaderClientOptions) {
    this.#options = options;
  }

  /** Reads the operator's source text of the active document from the leader. */
  async read(leader: string | undefined): Promise<Result<string, Failure>> {
    const target = this.#findTarget(leader);
    if (target === undefined) {
      return new Err(createFailure('notFresh', 'no leader'));
    }
    try {
      const answer = await this.#options.forwarded.measureRead(target.leader, (options) =>
        this.#connect(target).read({}, options),
      );
      return decodeAnswer(answer).map(() => answer.source);
    } catch (error) {
      return new Err(createFailure('notFresh', String(error)));
    }
  }

  /** Log index from which on the state has every change that was acknowledged before the call. */
  async confirmIndex(leader: string | undefined): Promise<Result<number, Failure>> {
    const target = this.#findTarget(leader);
    if (target === undefined) {
      return new Err(createFailure('notFresh', 'no leader'));
    }
    try {
      const answer = await this.#options.forwarded.measure('confirmation', target.leader, () =>
        this.#connect(target).confirmIndex({}, { timeoutMs: confirmTimeout }),
      );
      return decodeAnswer(answer).map(() => Number(answer.index));
    } catch (error) {
      // A leader of an earlier version cannot be asked; gateways that start during the upgrade must not wait for its end.
      if (error instanceof ConnectError && error.code === Code.Unimplemented) {
        return new Ok(0);
      }
      return new Err(createFailure('notFresh', String(error)));
    }
  }

  /** Forwards an announcement of an instance to the leader, which records it. */
  async announce(
    leader: string | undefined,
    announcement: Announcement,
  ): Promise<Result<undefined, Failure>> {
    const target = this.#findTarget(leader);
    if (target === undefined) {
      return new Err(createFailure('noQuorum', 'no leader'));
    }
    try {
      const text = JSON.stringify(announcement);
      const answer = await this.#options.forwarded.measure('announcement', target.leader, () =>
        this.#connect(target).announce({ announcement: text }, { timeoutMs: announceTimeout }),
      );
      return decodeAnswer(answer);
    } catch (error) {
      // The leader may have recorded it before the connection failed.
      return new Err(createFailure('changeUncertain', String(error)));
    }
  }

  #findTarget(leader: string | undefined): Target | undefined {
    const address = leader === undefined ? undefined : this.#options.findAddress(leader);
    return leader === undefined || address === undefined ? undefined : { leader, address };
  }

  #connect({ address }: Target): Client<typeof RoutingService> {
    return this.#options.clients.client(RoutingService, address);
  }
}

function decodeAnswer({ resultCode, message }: CallAnswer): Result<undefined, Failure> {
  return resultCode === resultCodes.ok.number
    ? new Ok(undefined)
    : new Err(createFailure(findResultCodeName(resultCode), message));
}
