import type { RunningProgram } from '../../support/index.js';
import type { Exchange } from './kept-connection.js';
import type { SpoiledStream } from './stream-spoiler.js';

/** Finds what callers must not get, however upstreams spoil their streams and whatever else fails. Times in milliseconds. */

/** A span without faults, in which all requests are served. */
export interface CalmSpan {
  readonly from: number;
  readonly until: number;
}

/** What upstreams did. */
export interface UpstreamRecord {
  readonly spoiled: readonly SpoiledStream[];
  /** Attempt ids of the streams that they have begun. */
  readonly begun: ReadonlySet<string>;
}

export class StreamJudge {
  readonly #exchanges: readonly Exchange[];
  readonly #upstreams: UpstreamRecord;

  /** Both may still grow. */
  constructor(exchanges: readonly Exchange[], upstreams: UpstreamRecord) {
    this.#exchanges = exchanges;
    this.#upstreams = upstreams;
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
      const fault = describeFault(exchange);
      return fault === undefined ? [] : [`${fault}: ${this.#describe(exchange)}`];
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

  #findWithin({ from, until }: CalmSpan): readonly Exchange[] {
    return this.#exchanges.filter(({ startedAt, endedAt }) => {
      return startedAt >= from && endedAt <= until;
    });
  }

  #wasClosedUnread({ id, ending }: Exchange): boolean {
    const isReset = ending.type === 'broken' && ending.error.includes('ECONNRESET');
    return isReset && ending.status === 0 && !this.#upstreams.begun.has(id);
  }

  #listSpoiled(id: string): readonly SpoiledStream[] {
    return this.#upstreams.spoiled.filter((each) => each.id === id);
  }

  #describe({ id, life, plan, ending, stream }: Exchange): string {
    const spoiled = this.#listSpoiled(id);
    return `${id} at gateway ${life} ${JSON.stringify({ ending, stream, spoiled, plan })}`;
  }
}

function subtract(all: readonly Exchange[], some: readonly Exchange[]): readonly Exchange[] {
  return all.filter((each) => !some.includes(each));
}

function describeFault({ ending, stream }: Exchange): string | undefined {
  if (stream?.foreign !== undefined) {
    return 'bytes of no event of the stream';
  }
  if (ending.type === 'broken') {
    return ending.error.includes('Parse Error') ? 'bytes of no response' : undefined;
  }
  return ending.isWhole ? undefined : 'whole without all events';
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
