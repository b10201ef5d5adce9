import type { Work } from '../work.js';
import type { Exchange } from './kept-connection.js';
import type { StallLog } from './stall-log.js';
import { sumFreezes, type ProcessLife, type ProcessLives } from './process-lives.js';
import { graceSlack, judgeExchange, stopGrace, type Verdict } from './stop-verdict.js';

/** Finds the requests that gateways lost, wrong answers, and processes that did not end as they should. Times in milliseconds. */

export interface StopRecord {
  readonly exchanges: readonly Exchange[];
  readonly gateways: ProcessLives;
  /** What engines and plain upstreams did. */
  readonly work: readonly Work[];
  readonly stalls: StallLog;
}

export class StopJudge {
  readonly #exchanges: readonly Exchange[];
  readonly #gateways: ProcessLives;
  readonly #stalls: StallLog;
  readonly #work = new Map<string, Work[]>();

  constructor({ exchanges, gateways, work, stalls }: StopRecord) {
    this.#stalls = stalls;
    this.#exchanges = exchanges;
    this.#gateways = gateways;
    for (const each of [...work].sort((one, other) => one.startedAt - other.startedAt)) {
      const sameRequest = this.#work.get(each.id);
      if (sameRequest === undefined) {
        this.#work.set(each.id, [each]);
      } else {
        sameRequest.push(each);
      }
    }
  }

  /** Number of requests that were under way when their gateway got SIGTERM. */
  get acrossStops(): number {
    return this.#exchanges.filter(({ life, startedAt, endedAt }) => {
      const { stoppedAt } = this.#gateways.find(life);
      return stoppedAt !== undefined && startedAt < stoppedAt && endedAt > stoppedAt;
    }).length;
  }

  countVerdicts(): Readonly<Record<string, number>> {
    return countWords(this.#exchanges.map((exchange) => this.#judge(exchange)));
  }

  countEndings(): Readonly<Record<string, number>> {
    return countEndings(this.#exchanges);
  }

  findLostRequests(): readonly string[] {
    return this.#exchanges
      .filter((exchange) => this.#judge(exchange) === 'lost')
      .map((exchange) => `lost: ${this.#describe(exchange)}`);
  }

  findWrongAnswers(): readonly string[] {
    return this.#exchanges.flatMap((exchange) => {
      const faults = this.#listWrongs(exchange);
      return faults.map((fault) => `${fault}: ${this.#describe(exchange)}`);
    });
  }

  #judge(exchange: Exchange): Verdict {
    const { life, sentAt = exchange.endedAt, endedAt } = exchange;
    const stalled = this.#stalls.sum(sentAt, endedAt);
    return judgeExchange(exchange, this.#gateways.find(life), this.#findWork(exchange), stalled);
  }

  #findWork({ id }: Exchange): readonly Work[] {
    return this.#work.get(id) ?? [];
  }

  #listWrongs(exchange: Exchange): readonly string[] {
    const { ending, plan } = exchange;
    const runs = this.#findWork(exchange).length;
    const isOnce = plan.answer.type === 'plain' && !plan.answer.isIdempotent;
    const faults = isOnce && runs > 1 ? [`ran ${runs} times, and is not idempotent`] : [];
    if (ending.type === 'broken') {
      return faults;
    }
    if (!ending.isWhole) {
      faults.push('truncated');
    }
    if (ending.status === 503 && runs > 0) {
      faults.push('refused as not run, but ran');
    }
    if (ending.status >= 400 && ending.status < 500) {
      faults.push('refused as wrong');
    }
    return faults;
  }

  /** All times are relative to SIGTERM. */
  #describe(exchange: Exchange): string {
    const { id, life, plan, startedAt, sentAt, headAt, endedAt, ending } = exchange;
    const { stoppedAt = startedAt, hangUps, end } = this.#gateways.find(life);
    const sinceStop = (at: number | undefined): number | undefined => {
      return at === undefined ? undefined : Math.round(at - stoppedAt);
    };
    const work = this.#findWork(exchange).map((each) => {
      const { type, at } = each.end ?? {};
      return { from: sinceStop(each.startedAt), until: sinceStop(at), end: type };
    });
    const times = {
      started: sinceStop(startedAt),
      sent: sinceStop(sentAt),
      head: sinceStop(headAt),
      ended: sinceStop(endedAt),
      gatewayEnded: sinceStop(end?.at),
      hangUps: hangUps.map(sinceStop),
      stalled: Math.round(this.#stalls.sum(startedAt, endedAt)),
    };
    return `${id} at gateway ${life} ${JSON.stringify({ ...times, work, ending, plan })}`;
  }
}

/** Counts how requests ended, by status and name of the result code. */
export function countEndings(exchanges: readonly Exchange[]): Readonly<Record<string, number>> {
  return countWords(
    exchanges.map(({ ending }) => {
      const name = ending.type === 'broken' ? 'broken' : ending.name;
      return `${ending.status} ${name}`.trim();
    }),
  );
}

/** Processes that got SIGTERM and ended late or badly. */
export function findWrongEnds(kind: string, lives: ProcessLives): readonly string[] {
  return lives.list().flatMap(([key, life]) => {
    const fault = describeWrongEnd(life);
    return fault === undefined ? [] : [`${kind} ${key} ${fault}`];
  });
}

function describeWrongEnd(life: ProcessLife): string | undefined {
  const { stoppedAt, killedAt, end } = life;
  if (killedAt !== undefined || end === undefined || stoppedAt === undefined) {
    return undefined;
  }
  const after = Math.round(end.at - stoppedAt);
  if (end.code !== 0 && end.hasWritten) {
    return `ended with ${String(end.code ?? end.signal)} ${after} ms after SIGTERM`;
  }
  const limit = stopGrace + graceSlack + sumFreezes(life, stoppedAt, end.at);
  return after > limit ? `ended ${after} ms after SIGTERM` : undefined;
}

function countWords(words: readonly string[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const word of words) {
    counts[word] = (counts[word] ?? 0) + 1;
  }
  return counts;
}
