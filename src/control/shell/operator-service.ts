import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { HandlerContext } from '@connectrpc/connect';
import type { Logger } from 'pino';
import type { Result } from 'ts-results';

import { assertNever, createFailure, encodeOutcome, type Failure } from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import {
  ControlService,
  GetResponseSchema,
  SubmitResponseSchema,
  type GetRequest,
  type GetResponse,
  type SubmitResponse,
} from '../../generated/pistachiospoke/v1/control_pb.js';
import type { RpcClientPool } from '../../wire/index.js';
import type { ForwardedCalls } from '../forwarded-calls.js';
import {
  encodeCommandAnswer,
  checkSubmittedCommand,
  viewSchemas,
  type Command,
  type CommandAnswer,
  type EvacuationAction,
  type ViewKind,
} from '../state/index.js';
import { noQuorumRetryDelay, type CommandSubmitter } from './command-submitter.js';
import { createView, type ViewSource } from './views.js';

/** Handles commands and reads of operators and gateways. */

/** Marks a read that was already forwarded, so that two hosts that disagree about the leader do not forward it back and forth. */
const forwardedHeader = 'pistachiospoke-forwarded';

/** Options of the operator service. */
export interface OperatorServiceOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly submitter: CommandSubmitter;
  readonly clients: RpcClientPool;
  readonly findAddress: (name: string) => string | undefined;
  readonly forwarded: ForwardedCalls;
  readonly describe: () => ViewSource;
  readonly logger: Logger;
  /** Starts or ends an evacuation; the value is whether that changed anything. */
  readonly setEvacuation: (
    failureDomain: string,
    action: EvacuationAction,
  ) => Promise<Result<boolean, Failure>>;
}

export class OperatorService {
  readonly #options: OperatorServiceOptions;

  constructor(options: OperatorServiceOptions) {
    this.#options = options;
  }

  /** Handles a command from outside control. */
  submit(text: string): Promise<SubmitResponse> {
    return this.#runCommand(text, (command) => this.#submit(command));
  }

  /** Handles a command forwarded by another control host. */
  handleForwarded(text: string): Promise<SubmitResponse> {
    return this.#runCommand(text, (command) => this.#options.submitter.proposeLocally(command));
  }

  /** Handles a read that must not be stale: the leader answers it after confirming its leadership with a quorum. */
  async get(request: GetRequest, context: HandlerContext): Promise<GetResponse> {
    if (!isViewKind(request.kind)) {
      return refuseGet(createFailure('invalidCommand', `unknown kind ${request.kind}`));
    }
    if (request.kind === 'control') {
      return this.#readLocally(request.kind);
    }
    const leadership = this.#options.log.view();
    switch (leadership.type) {
      case 'leader':
        return this.#readConfirmed(request.kind);
      case 'follower': {
        const isForwarded = context.requestHeader.has(forwardedHeader);
        return isForwarded ? refuseStale() : this.#forward(request, leadership.leader);
      }
      case 'leaderless':
        return refuseStale();
      default:
        return assertNever(leadership);
    }
  }

  async #submit(command: Command): Promise<Result<CommandAnswer, Failure>> {
    if (command.type === 'setEvacuation') {
      // An order is stamped by the control host that receives it, so its own stamp is not used.
      const { failureDomain, action } = command;
      const result = await this.#options.setEvacuation(failureDomain, action);
      return result.map((isChanged) => ({ type: 'evacuationSet', isChanged }));
    }
    if (command.type === 'releaseSubject') {
      const { subject, operator } = command;
      this.#options.logger.info({ subject, operator }, 'release of quarantined subject ordered');
    }
    return this.#options.submitter.submit(command);
  }

  async #runCommand(
    text: string,
    execute: (command: Command) => Promise<Result<CommandAnswer, Failure>>,
  ): Promise<SubmitResponse> {
    const command = await checkSubmittedCommand(text);
    if (command.err) {
      return encodeFailure(command.val);
    }
    const result = await execute(command.unwrap());
    return result.ok ? encodeAnswer(result.val) : encodeFailure(result.val);
  }

  async #readConfirmed(kind: ViewKind): Promise<GetResponse> {
    const confirmed = await this.#options.log.confirmRead();
    return confirmed.ok ? this.#readLocally(kind) : refuseGet(confirmed.val);
  }

  #readLocally(kind: ViewKind): GetResponse {
    const source = this.#options.describe();
    const answer = JSON.stringify(createView(kind, source));
    return create(GetResponseSchema, { answer, index: BigInt(source.state.index) });
  }

  async #forward(request: GetRequest, leader: string): Promise<GetResponse> {
    const address = this.#options.findAddress(leader);
    if (address === undefined) {
      return refuseStale();
    }
    const { clients, forwarded } = this.#options;
    const headers = { [forwardedHeader]: '1' };
    try {
      return await forwarded.measureRead(leader, (options) =>
        clients.client(ControlService, address).get(request, { ...options, headers }),
      );
    } catch {
      return refuseStale();
    }
  }
}

function isViewKind(kind: string): kind is ViewKind {
  return kind in viewSchemas;
}

function refuseStale(): GetResponse {
  return refuseGet(createFailure('notFresh', 'this control host reaches no leader'));
}

function refuseGet(failure: Failure): GetResponse {
  return create(GetResponseSchema, encodeOutcome(failure));
}

function encodeAnswer(answer: CommandAnswer): SubmitResponse {
  const text = encodeCommandAnswer(answer);
  if (answer.type !== 'refused') {
    return create(SubmitResponseSchema, { answer: text });
  }
  return create(SubmitResponseSchema, { ...encodeOutcome(answer.failure), answer: text });
}

function encodeFailure(failure: Failure): SubmitResponse {
  const message: MessageInitShape<typeof SubmitResponseSchema> = {
    ...encodeOutcome(failure),
    retryAfterMilliseconds: failure.retryAfterMilliseconds ?? noQuorumRetryDelay,
  };
  return create(SubmitResponseSchema, message);
}
