import type { Http2Server, Http2Session, Http2Stream } from 'node:http2';

/** Limits the connections of an RPC server, and the open calls on them, which take memory even if nothing is sent on them. */

/** Part of all calls that one session may have; its peer is told. */
const sessionPart = 0.25;
/** A session that has less than this part of the calls of the busiest one may take its place. */
const modestPart = 0.5;
/** A session is closed after so many calls in a row that had to be refused. */
const maximumRefusals = 50;

/** What the clients of an RPC server may keep open. */
export interface SessionLimits {
  readonly connections: number;
  /** Calls over all connections. */
  readonly calls: number;
}

interface OpenSession {
  readonly session: Http2Session;
  calls: number;
  /** Calls that were refused since the last one that was not. */
  refusals: number;
}

/**
 * A connection beyond the limit is closed unread. The session that has been without a call for longest makes room for the next one.
 *
 * A session may have as many calls as are left for all others, so that no client takes them all, whatever their limit. When none are left for
 * a session that has few, the one with the most calls is closed.
 */
export class OpenSessions {
  readonly #limits: SessionLimits;
  /** Sessions without a call are in the order in which they became idle. */
  readonly #open = new Map<Http2Session, OpenSession>();
  #calls = 0;

  constructor(limits: SessionLimits) {
    this.#limits = limits;
  }

  /** Most calls that one session may have. */
  get callsOfSession(): number {
    return Math.ceil(this.#limits.calls * sessionPart);
  }

  guard(server: Http2Server): void {
    server.maxConnections = this.#limits.connections;
    server.on('session', (session) => {
      this.#open.set(session, { session, calls: 0, refusals: 0 });
      session.once('close', () => {
        this.#remove(session);
      });
    });
    server.on('drop', () => {
      this.#findLongestIdle()?.session.destroy();
    });
  }

  /** Counts a new call until it ends; false if it must be refused. */
  admit(stream: Http2Stream): boolean {
    const open = stream.session === undefined ? undefined : this.#open.get(stream.session);
    if (open === undefined) {
      return false;
    }
    if (!this.#hasRoom(open)) {
      this.#makeRoom(open);
    }
    if (!this.#hasRoom(open)) {
      this.#noteRefusal(open);
      return false;
    }
    open.refusals = 0;
    open.calls += 1;
    this.#calls += 1;
    stream.once('close', () => {
      this.#noteEnd(open);
    });
    return true;
  }

  #hasRoom({ calls }: OpenSession): boolean {
    return calls < this.#limits.calls - this.#calls;
  }

  #makeRoom({ calls }: OpenSession): void {
    const busiest = this.#findBusiest();
    if (busiest !== undefined && calls < busiest.calls * modestPart) {
      this.#close(busiest);
    }
  }

  #noteRefusal(open: OpenSession): void {
    open.refusals += 1;
    if (open.refusals >= maximumRefusals) {
      this.#close(open);
    }
  }

  /** Moves the session behind those that became idle before; one that has been removed is not taken in again. */
  #noteEnd(open: OpenSession): void {
    if (this.#open.delete(open.session)) {
      this.#open.set(open.session, open);
      open.calls -= 1;
      this.#calls -= 1;
    }
  }

  /** The calls of a session end some time after it is destroyed, and must not count until then. */
  #close({ session }: OpenSession): void {
    this.#remove(session);
    session.destroy();
  }

  #remove(session: Http2Session): void {
    this.#calls -= this.#open.get(session)?.calls ?? 0;
    this.#open.delete(session);
  }

  #findLongestIdle(): OpenSession | undefined {
    for (const open of this.#open.values()) {
      if (open.calls === 0) {
        return open;
      }
    }
    return undefined;
  }

  #findBusiest(): OpenSession | undefined {
    let busiest: OpenSession | undefined;
    for (const open of this.#open.values()) {
      if (open.calls > (busiest?.calls ?? 0)) {
        busiest = open;
      }
    }
    return busiest;
  }
}
