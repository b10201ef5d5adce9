import { Err, Ok, type Result } from 'ts-results';
import type { z } from 'zod';

import {
  createFailure,
  findResultCodeName,
  type Failure,
  type Milliseconds,
} from '../common/index.js';
import {
  decodeCommandAnswer,
  viewSchemas,
  type AcceptedChange,
  type Change,
  type ViewKind,
} from '../control/state/index.js';
import type { RpcClientPool } from '../wire/index.js';
import { ControlConnection, type CallOutcome, type RawAnswer } from './control-connection.js';

/** Control as operators see it: any of its hosts, asked in turn until one gives a final answer. */

/** A refusal, with what to show to an operator who lost a race. */
export interface ControlRefusal {
  readonly failure: Failure;
  readonly winner: AcceptedChange | undefined;
  readonly differences: readonly string[];
}

/** What a kind of read gives. */
export type View<Kind extends ViewKind> = z.infer<(typeof viewSchemas)[Kind]>;

export interface ControlClientOptions {
  readonly addresses: readonly string[];
  readonly clients: RpcClientPool;
  /** For one call to one control host. */
  readonly timeout: Milliseconds;
  readonly sleep: (duration: Milliseconds) => Promise<void>;
}

/** How often all control hosts are asked before the command line gives up. */
const rounds = 6;
const firstPause: Milliseconds = 250;

/** Codes after which another control host, or the same one later, may do better. */
const passingCodes: readonly string[] = ['noQuorum', 'changeUncertain', 'notFresh'];

export class ControlClient {
  readonly #connections: readonly ControlConnection[];
  readonly #sleep: ControlClientOptions['sleep'];

  constructor(options: ControlClientOptions) {
    this.#connections = options.addresses.map(
      (address) => new ControlConnection(address, options.clients, options.timeout),
    );
    this.#sleep = options.sleep;
  }

  /**
   * Submits a change and gives the revision after it.
   * After a lost answer the very same text goes to the next control host: the change id in it makes sure that it is
   * accepted once at most and that the first answer comes back.
   */
  async submit(change: Change): Promise<Result<number, ControlRefusal>> {
    const command = JSON.stringify(change);
    const outcome = await this.#ask((connection) => connection.submit(command));
    if (outcome.type === 'answered') {
      return readChangeAnswer(outcome.answer);
    }
    const code = outcome.type === 'lost' ? 'changeUncertain' : 'noQuorum';
    return new Err(createRefusal(createFailure(code, outcome.detail)));
  }

  /** A read that is not stale. */
  async get<Kind extends ViewKind>(kind: Kind): Promise<Result<View<Kind>, ControlRefusal>> {
    const outcome = await this.#ask((connection) => connection.get(kind));
    if (outcome.type === 'answered') {
      return readView(kind, outcome.answer);
    }
    return new Err(createRefusal(createFailure('notFresh', outcome.detail)));
  }

  /** Asks every control host for itself; undefined for those that do not answer. */
  async getFromEach<Kind extends ViewKind>(
    kind: Kind,
  ): Promise<readonly { readonly address: string; readonly view: View<Kind> | undefined }[]> {
    return Promise.all(
      this.#connections.map(async (connection) => {
        const outcome = await connection.get(kind);
        const view =
          outcome.type === 'answered'
            ? readView(kind, outcome.answer).unwrapOr(undefined)
            : undefined;
        return { address: connection.address, view };
      }),
    );
  }

  /** The first final answer; without one, whether any of the calls may have been carried out. */
  async #ask(
    call: (connection: ControlConnection) => Promise<CallOutcome<RawAnswer>>,
  ): Promise<CallOutcome<RawAnswer>> {
    let isUncertain = false;
    const details = new Map<string, string>();
    for (let round = 0; round < rounds; round += 1) {
      await this.#sleep(round === 0 ? 0 : firstPause * 2 ** (round - 1));
      for (const connection of this.#connections) {
        const outcome = await call(connection);
        if (outcome.type === 'answered' && !isPassing(outcome.answer)) {
          return outcome;
        }
        isUncertain ||= mayHaveRun(outcome);
        details.set(connection.address, describeOutcome(connection, outcome));
      }
    }
    return { type: isUncertain ? 'lost' : 'unsent', detail: [...details.values()].join('; ') };
  }
}

function isPassing(raw: RawAnswer): boolean {
  return passingCodes.includes(findResultCodeName(raw.resultCode));
}

function mayHaveRun(outcome: CallOutcome<RawAnswer>): boolean {
  if (outcome.type === 'answered') {
    return findResultCodeName(outcome.answer.resultCode) === 'changeUncertain';
  }
  return outcome.type === 'lost';
}

function describeOutcome(connection: ControlConnection, outcome: CallOutcome<RawAnswer>): string {
  return outcome.type === 'answered'
    ? `${connection.address}: ${outcome.answer.message}`
    : outcome.detail;
}

function readChangeAnswer(raw: RawAnswer): Result<number, ControlRefusal> {
  const answer = decodeCommandAnswer(raw.answer);
  if (answer?.type === 'changed') {
    return new Ok(answer.revision);
  }
  if (answer?.type === 'refused') {
    return new Err(answer);
  }
  return new Err(createRefusal(readFailure(raw)));
}

function readView<Kind extends ViewKind>(
  kind: Kind,
  raw: RawAnswer,
): Result<View<Kind>, ControlRefusal> {
  if (raw.resultCode !== 0) {
    return new Err(createRefusal(readFailure(raw)));
  }
  const parsed = viewSchemas[kind].safeParse(parseJson(raw.answer));
  if (!parsed.success) {
    const detail = `the answer to "${kind}" has another form than this version knows`;
    return new Err(createRefusal(createFailure('internal', detail)));
  }
  return new Ok(parsed.data as View<Kind>);
}

function readFailure(raw: RawAnswer): Failure {
  return createFailure(findResultCodeName(raw.resultCode || internalNumber), raw.message);
}

/** Stands in for "ok" where an answer says ok and yet cannot be read. */
const internalNumber = 6003;

function createRefusal(failure: Failure): ControlRefusal {
  return { failure, winner: undefined, differences: [] };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
