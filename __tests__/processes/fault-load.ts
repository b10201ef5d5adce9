/** A bounded load on a fleet, with a record of what each caller was told. */
import { resultCodes, type ExecutionOutcome, type ResultCode } from '../../src/common/index.js';
import { callsPath } from '../../src/stand-in/index.js';
import type { Fleet } from '../support/index.js';

const tokens = 12;
const gateways = 2;
/** Sends of one key before its caller gives up. */
const maximumSends = 4;

const rowByNumber: ReadonlyMap<number, ResultCode> = new Map(
  Object.values(resultCodes).map((row) => [row.number, row]),
);

/** What a caller was told about one send. */
export interface ToldOutcome {
  readonly word: string;
  /** Undefined when the answer names no documented code. */
  readonly row: ResultCode | undefined;
  readonly text: string;
  /** What is wrong with the answer itself; undefined when nothing is. */
  readonly fault: string | undefined;
}

/** All sends of one idempotency key. */
export interface KeyRecord {
  readonly path: string;
  readonly outcomes: readonly ToldOutcome[];
}

/** Callers that go on one request after the other until they are stopped. */
export class FaultLoad {
  readonly chats: ToldOutcome[] = [];
  readonly keys: KeyRecord[] = [];
  readonly #fleet: Fleet;
  readonly #running: readonly Promise<void>[];
  #isStopping = false;
  #next = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#running = [
      ...[1, 2, 3].map(() => this.#repeat((id) => this.#chat(id, true))),
      ...[1, 2, 3].map(() => this.#repeat((id) => this.#chat(id, false))),
      ...[1, 2, 3].map(() => this.#repeat((id) => this.#callWithKey(id))),
    ];
  }

  async stop(): Promise<void> {
    this.#isStopping = true;
    await Promise.all(this.#running);
  }

  /** Every answer that breaks a promise about one request; empty when all is well. */
  listFaults(): readonly string[] {
    return [...this.chats, ...this.keys.flatMap(({ outcomes }) => outcomes)].flatMap(
      ({ word, fault, text }) => (fault === undefined ? [] : [`${word}: ${fault}: ${text}`]),
    );
  }

  /** Keys that ran more often, or less, than their callers were told. */
  async listMiscounts(services: readonly string[]): Promise<readonly string[]> {
    const calls = await Promise.all(services.map(readCalls));
    return this.keys.flatMap(({ path, outcomes }) => {
      const count = calls.reduce((sum, byPath) => sum + (byPath[path] ?? 0), 0);
      const told = outcomes.map(({ row }) => row?.outcome);
      return isAsTold(count, told) ? [] : [`${path} ran ${count} times; told ${told.join(', ')}`];
    });
  }

  async #repeat(send: (id: number) => Promise<void>): Promise<void> {
    while (!this.#isStopping) {
      this.#next += 1;
      await send(this.#next);
    }
  }

  async #chat(id: number, isStreamed: boolean): Promise<void> {
    const word = `caller${id}`;
    const response = await this.#fleet.chat({
      gateway: 1 + (id % gateways),
      content: word,
      tokens,
      isStreamed,
    });
    const text = await response.text();
    this.chats.push(
      isStreamed && response.status === 200
        ? judgeStream(word, text)
        : judgeAnswer(word, response, text, (answer) => hasOwnTokens(word, answer)),
    );
  }

  /** Sends the same key through both gateways in turn until it ran, or nobody can say whether it did. */
  async #callWithKey(id: number): Promise<void> {
    const path = `/quotes/${id}`;
    const outcomes: ToldOutcome[] = [];
    for (let send = 0; send < maximumSends; send += 1) {
      const headers = { 'idempotency-key': `key${id}` };
      const gateway = 1 + ((id + send) % gateways);
      const response = await this.#fleet.callService(path, `body${id}`, headers, gateway);
      const text = await response.text();
      const isOwn = (answer: string): boolean =>
        answer.includes(`"path":"${path}","body":"body${id}"`);
      outcomes.push(judgeAnswer(path, response, text, isOwn));
      if (outcomes.at(-1)?.row?.outcome !== 'notRun') {
        break;
      }
    }
    this.keys.push({ path, outcomes });
  }
}

function isAsTold(count: number, told: readonly (ExecutionOutcome | undefined)[]): boolean {
  switch (count) {
    case 0:
      return !told.includes('ran');
    case 1:
      return told.some((outcome) => outcome !== 'notRun');
    default:
      return false;
  }
}

/** A whole answer is its caller's own; any other names a documented code with its status. */
function judgeAnswer(
  word: string,
  response: Response,
  text: string,
  isOwn: (text: string) => boolean,
): ToldOutcome {
  const row = rowByNumber.get(Number(response.headers.get('pistachiospoke-result') ?? Number.NaN));
  if (row?.httpStatus !== response.status) {
    return { word, row, text, fault: `status ${response.status} without its code` };
  }
  const isTrue = response.status === 200 ? isOwn(text) : text.includes(`"code":${row.number}`);
  return { word, row, text, fault: isTrue ? undefined : 'not an answer of its own' };
}

/** A stream ends in its own whole answer or in an error event with a documented code, never in silence. */
function judgeStream(word: string, text: string): ToldOutcome {
  if (text.endsWith('data: [DONE]\n\n')) {
    const fault = hasOwnTokens(word, text) ? undefined : 'not its own whole answer';
    return { word, row: resultCodes.ok, text, fault };
  }
  const code = /event: error\ndata: \{"error":\{"code":(\d+)/.exec(text)?.[1];
  const row = rowByNumber.get(Number(code ?? Number.NaN));
  const tokensOfOthers = listTokens(text).filter((token) => !token.startsWith(`${word}#`));
  if (tokensOfOthers.length > 0) {
    return { word, row, text, fault: 'an answer of another' };
  }
  return { word, row, text, fault: row === undefined ? 'cut off in silence' : undefined };
}

function hasOwnTokens(word: string, text: string): boolean {
  const expected = Array.from({ length: tokens }, (_, index) => `${word}#${index}`);
  return listTokens(text).join(' ') === expected.join(' ');
}

function listTokens(text: string): readonly string[] {
  return text.match(/\w+#\d+/g) ?? [];
}

async function readCalls(address: string): Promise<Readonly<Record<string, number>>> {
  const response = await fetch(`http://${address}${callsPath}`);
  return (await response.json()) as Record<string, number>;
}
