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
  type Command,
  type EvacuationAction,
  type ViewKind,
} from '../control/state/index.js';
import type { RpcClientPool } from '../wire/index.js';
import { ControlConnection, type CallOutcome, type RawAnswer } from './control-connection.js';

/** Client of control as a whole: calls its hosts in turn until one gives a final answer. */

/** A refused command. On a conflict it holds the change that was accepted first and the remaining differences. */
export interface ControlRefusal {
  readonly failure: Failure;
  readonly winner: AcceptedChange | undefined;
  readonly differences: readonly string[];
}

/** The result of a read of one kind. */
export type View<Kind extends ViewKind> = z.infer<(typeof viewSchemas)[Kind]>;

export interface ControlClientOptions {
  readonly addresses: readonly string[];
  readonly clients: RpcClientPool;
  /** Timeout of one call to one control host. */
  readonly timeout: Milliseconds;
  readonly sleep: (duration: Milliseconds) => Promise<void>;
}

/** How many times every control host is tried before giving up. */
const maximumRounds = 6;
const initialBackoff: Milliseconds = 250;

/** Result codes after which a retry, on another control host or later on the same one, may succeed. */
const transientCodes: readonly string[] = [
  'noQuorum',
  'changeUncertain',
  'notFresh',
  'evacuationTooSoon',
  'evacuationOutdated',
];

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
   * Submits a change and returns the resulting revision.
   * After a lost answer the identical text is sent to the next control host. Its change id ensures that the change is
   * accepted at most once and that the first answer is returned again.
   */
  async submit(change: Change): Promise<Result<number, ControlRefusal>> {
    const command = JSON.stringify(change);
    const outcome = await this.#callUntilFinal((connection) => connection.submit(command));
    if (outcome.type === 'answered') {
      return readChangeAnswer(outcome.answer);
    }
    const code = outcome.type === 'lost' ? 'changeUncertain' : 'noQuorum';
    return new Err(createRefusal(createFailure(code, outcome.detail)));
  }

  /** Starts or ends an evacuation; returns whether that changed anything. */
  async orderEvacuation(
    failureDomain: string,
    action: EvacuationAction,
  ): Promise<Result<boolean, ControlRefusal>> {
    // The control host that receives the order sets its time and its stamp.
    return this.#order({ type: 'setEvacuation', at: 0, failureDomain, action, stamp: 0 });
  }

  /** Ends the quarantine of a subject; returns whether it was known. */
  async releaseSubject(
    subject: string,
    operator: string,
  ): Promise<Result<boolean, ControlRefusal>> {
    return this.#order({ type: 'releaseSubject', at: 0, subject, operator });
  }

  /** Submits an order that can be resent without harm after a lost answer; returns whether it changed anything. */
  async #order(command: Command): Promise<Result<boolean, ControlRefusal>> {
    const text = JSON.stringify(command);
    const outcome = await this.#callUntilFinal((connection) => connection.submit(text));
    if (outcome.type === 'answered') {
      const answer = decodeCommandAnswer(outcome.answer.answer);
      return answer?.type === 'evacuationSet' || answer?.type === 'subjectReleased'
        ? new Ok(answer.isChanged)
        : new Err(createRefusal(readFailure(outcome.answer)));
    }
    const code = outcome.type === 'lost' ? 'changeUncertain' : 'noQuorum';
    return new Err(createRefusal(createFailure(code, outcome.detail)));
  }

  /** Reads a view that is not stale. */
  async get<Kind extends ViewKind>(kind: Kind): Promise<Result<View<Kind>, ControlRefusal>> {
    const outcome = await this.#callUntilFinal((connection) => connection.get(kind));
    if (outcome.type === 'answered') {
      return readView(kind, outcome.answer);
    }
    return new Err(createRefusal(createFailure('notFresh', outcome.detail)));
  }

  /** Reads a view from each control host separately; undefined for hosts that do not answer. */
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

  /** Returns the first final answer. Without one, `lost` if any call may have been executed, else `unsent`. */
  async #callUntilFinal(
    call: (connection: ControlConnection) => Promise<CallOutcome<RawAnswer>>,
  ): Promise<CallOutcome<RawAnswer>> {
    let isUncertain = false;
    const details = new Map<string, string>();
    for (let round = 0; round < maximumRounds; round += 1) {
      await this.#sleep(round === 0 ? 0 : initialBackoff * 2 ** (round - 1));
      for (const connection of this.#connections) {
        const outcome = await call(connection);
        if (outcome.type === 'answered' && !isTransient(outcome.answer)) {
          return outcome;
        }
        isUncertain ||= mayHaveExecuted(outcome);
        details.set(connection.address, describeOutcome(connection, outcome));
      }
    }
    return { type: isUncertain ? 'lost' : 'unsent', detail: [...details.values()].join('; ') };
  }
}

function isTransient(raw: RawAnswer): boolean {
  return transientCodes.includes(findResultCodeName(raw.resultCode));
}

function mayHaveExecuted(outcome: CallOutcome<RawAnswer>): boolean {
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
  return createFailure(findResultCodeName(raw.resultCode || internalErrorNumber), raw.message);
}

/** Number of the result code `internal`; replaces "ok" when a successful answer cannot be decoded. */
const internalErrorNumber = 6003;

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
