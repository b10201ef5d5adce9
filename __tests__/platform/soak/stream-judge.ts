import type { RunningProgram } from '../../support/index.js';
import type { Ending, Exchange } from './kept-connection.js';
import type { ProcessLives } from './process-lives.js';
import type { FaultyResponse } from './faulty-response.js';
import { maximumRuns } from './stream-plan.js';
import type { SpoiledStream } from './stream-spoiler.js';

/** Finds what callers must not get, however upstreams spoil their streams and whatever else fails. Times in milliseconds. */

/** A span without faults, in which all requests are served. */
export interface CalmSpan {
  readonly from: number;
  readonly until: number;
}

/** Statuses that say that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const errorName = /^\w+$/;

/** What upstreams did. */
export interface UpstreamRecord {
  readonly spoiled: readonly SpoiledStream[];
  readonly faulty: readonly FaultyResponse[];
  /** How often they have begun to answer each request, by attempt id. */
  readonly runs: ReadonlyMap<string, number>;
}

export class StreamJudge {
  readonly #exchanges: readonly Exchange[];
  readonly #upstreams: UpstreamRecord;
  readonly #gateways: ProcessLives;

  /** All of them may still grow. */
  constructor(exchanges: readonly Exchange[], upstreams: UpstreamRecord, gateways: ProcessLives) {
    this.#exchanges = exchanges;
    this.#upstreams = upstreams;
    this.#gateways = gateways;
  }

  /** Number of requests of which an upstream spoiled a stream and whose callers got all of it and nothing else. */
  get continuedUnseen(): number {
    return this.#exchanges.filter(
      (exchange) => this.#listSpoiled(exchange.id).length > 0 && isServed(exchange),
    ).length;
  }

  /** Number of requests with which callers resumed streams. */
  get resumedByCallers(): number {
    return this.#exchanges.filter(({ plan: { answer } }) => {
      return answer.type === 'stream' && answer.resumeAfter > 0;
    }).length;
  }

  findWrongStreams(): readonly string[] {
    return this.#exchanges.flatMap((exchange) => {
      const { stream, strays } = exchange;
      const faults = [
        ...strays,
        ...(stream?.foreign === undefined ? [] : ['bytes of no event of the stream']),
        ...listEndingFaults(this.#findEnding(exchange)),
        ...this.#listRunFaults(exchange),
      ];
      return faults.map((fault) => `${fault}: ${this.#describe(exchange)}`);
    });
  }

  /**
   * Requests that were not served in a span without faults. `shedCount`: how many new connections gateways say that they closed unread, as
   * they do while they have no processor time left; so many requests may have ended that way.
   */
  findUnserved(calm: CalmSpan, shedCount: number): readonly string[] {
    const unserved = this.#findWithin(calm).filter((exchange) => {
      return exchange.plan.leaveAfter === undefined && !isServed(exchange);
    });
    const unread = unserved.filter((exchange) => this.#wasClosedUnread(exchange));
    const found = unread.length > shedCount ? unserved : subtract(unserved, unread);
    return found.map((exchange) => `not served in the calm: ${this.#describe(exchange)}`);
  }

  /** Callers that were served nothing in a span without faults. */
  findIdleCallers(calm: CalmSpan, callerCount: number): readonly string[] {
    const served = new Set(this.#findWithin(calm).filter(isServed).map(readCaller));
    return Array.from({ length: callerCount }, (_, caller) => caller)
      .filter((caller) => !served.has(caller))
      .map((caller) => `caller ${caller} was served nothing in the calm`);
  }

  /** The system closes the connections of a killed gateway in order, which looks like the end of a body that ends with its connection. */
  #findEnding({ ending, plan: { answer }, life, startedAt, endedAt }: Exchange): Ending {
    const { killedAt } = this.#gateways.find(life);
    const wasKilled = killedAt !== undefined && killedAt >= startedAt && killedAt <= endedAt;
    const isEndedByConnection = answer.type === 'stream' && answer.bodyEnd === 'connection';
    return wasKilled && isEndedByConnection && ending.status === 200
      ? { type: 'broken', status: ending.status, error: 'its gateway was killed' }
      : ending;
  }

  #listRunFaults({ id, plan, ending }: Exchange): readonly string[] {
    const runs = this.#upstreams.runs.get(id) ?? 0;
    const isRefused = ending.type === 'answered' && notRunStatuses.has(ending.status);
    return [
      ...(isRefused && runs > 0 ? ['refused as not run, but ran'] : []),
      ...(plan.answer.type === 'stream' && runs > maximumRuns(plan.answer)
        ? [`ran ${runs} times`]
        : []),
    ];
  }

  #findWithin({ from, until }: CalmSpan): readonly Exchange[] {
    return this.#exchanges.filter(({ startedAt, endedAt }) => {
      return startedAt >= from && endedAt <= until;
    });
  }

  #wasClosedUnread({ id, ending }: Exchange): boolean {
    const isReset = ending.type === 'broken' && ending.error.includes('ECONNRESET');
    return isReset && ending.status === 0 && !this.#upstreams.runs.has(id);
  }

  #listSpoiled(id: string): readonly SpoiledStream[] {
    return this.#upstreams.spoiled.filter((each) => each.id === id);
  }

  #describe({ id, life, plan, ending, stream, strays }: Exchange): string {
    const spoiled = this.#listSpoiled(id);
    const faulty = this.#upstreams.faulty.filter((each) => each.id === id);
    const runs = this.#upstreams.runs.get(id) ?? 0;
    const facts = { ending, stream, strays, runs, spoiled, faulty, plan };
    return `${id} at gateway ${life} ${JSON.stringify(facts)}`;
  }
}

function subtract(all: readonly Exchange[], some: readonly Exchange[]): readonly Exchange[] {
  return all.filter((each) => !some.includes(each));
}

function listEndingFaults(ending: Ending): readonly string[] {
  if (ending.type === 'broken') {
    return ending.error.includes('Parse Error') ? ['bytes of no response'] : [];
  }
  const { status, name, isWhole } = ending;
  if (status === 200) {
    return isWhole ? [] : ['whole without all events'];
  }
  if (status < 400) {
    return ['a status that no upstream sends'];
  }
  return [
    ...(status < 500 ? ['refused as wrong'] : []),
    ...(errorName.test(name) ? [] : ['a part of an error, or none']),
  ];
}

function isServed({ ending }: Exchange): boolean {
  return ending.type === 'answered' && ending.status === 200 && ending.isWhole;
}

function readCaller({ id }: Exchange): number {
  return Number(id.split(':')[0]);
}

/** Number of new connections that gateways closed unread, by their logs. */
export function countShedConnections(programs: readonly RunningProgram[]): number {
  const counts = programs.flatMap(({ output }) => {
    return [...output.matchAll(/"closed":(\d+),"msg":"accepting new connections again"/g)];
  });
  return counts.reduce((sum, [, count]) => sum + Number(count), 0);
}
