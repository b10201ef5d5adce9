import type { CommittedEntry, LogEntry, StoredState } from '../../../src/consensus/core/index.js';
import type { SimulatedHost } from './simulated-host.js';

/** An invariant of the log was violated. */
export class InvariantViolation extends Error {
  override readonly name = 'InvariantViolation';
}

interface AnsweredValue {
  readonly value: number;
  readonly at: number;
}

interface ReadRequest {
  /** Values answered before the read was requested. */
  readonly answeredBefore: readonly number[];
}

/** Records what an outside observer has seen, and checks the invariants against it. */
export class History {
  readonly #committed: LogEntry[] = [];
  readonly #leaders = new Map<number, string>();
  readonly #answered: AnsweredValue[] = [];
  readonly #refused = new Set<number>();
  readonly #reads = new Map<number, ReadRequest>();

  get committedCount(): number {
    return this.#committed.length;
  }

  get leaderCount(): number {
    return this.#leaders.size;
  }

  get answeredValues(): readonly number[] {
    return this.#answered.map(({ value }) => value);
  }

  /** Checks that a term has one leader, whose log holds every committed entry. */
  observeLeader(host: SimulatedHost): void {
    const { view } = host.core;
    if (view.type !== 'leader') {
      return;
    }
    const { storageId } = host.core.self;
    const known = this.#leaders.get(view.term);
    if (known !== undefined && known !== storageId) {
      throw new InvariantViolation(`${known} and ${storageId} lead term ${view.term}`);
    }
    if (known === undefined) {
      this.#leaders.set(view.term, storageId);
      this.#checkHasCommitted(storageId, host.disk.newest);
    }
  }

  /** Checks that no committed entry changes. */
  observeCommitted({ entry }: CommittedEntry): void {
    const known = this.#committed[entry.index - 1];
    if (known === undefined) {
      this.#committed[entry.index - 1] = entry;
      return;
    }
    if (!isSameEntry(known, entry)) {
      throw new InvariantViolation(`committed ${describe(known)}, then ${describe(entry)}`);
    }
  }

  observeAnswer(value: number, at: number): void {
    this.#answered.push({ value, at });
  }

  observeRefusal(value: number): void {
    this.#refused.add(value);
  }

  observeReadRequest(readId: number): void {
    this.#reads.set(readId, { answeredBefore: this.answeredValues });
  }

  /** Checks that a read sees every value that was answered before the read was requested. */
  observeRead(readId: number, values: readonly number[]): void {
    this.#checkHasValues(`read ${readId}`, values, this.#reads.get(readId)?.answeredBefore ?? []);
  }

  /** Checks that a host that reports itself fresh as of a time has every value answered before that time. */
  observeStaleness(host: SimulatedHost, now: number): void {
    const freshAt = now - host.staleness(now);
    const before = this.#answered.filter(({ at }) => at < freshAt).map(({ value }) => value);
    this.#checkHasValues(`${host.name}, fresh at ${freshAt},`, host.machine.values, before);
  }

  /** Checks that every answered value is present, that no value is present twice, and that no refused value is present. */
  checkOutcome(values: readonly number[]): void {
    this.#checkHasValues('the last leader', values, this.answeredValues);
    if (new Set(values).size !== values.length) {
      throw new InvariantViolation('a value was written twice');
    }
    const refused = values.find((value) => this.#refused.has(value));
    if (refused !== undefined) {
      throw new InvariantViolation(`${refused} was refused and is there`);
    }
  }

  #checkHasCommitted(storageId: string, state: StoredState): void {
    const snapshotIndex = state.snapshot?.index ?? 0;
    for (const entry of this.#committed.slice(snapshotIndex)) {
      const own = state.entries.find(({ index }) => index === entry.index);
      if (own === undefined || !isSameEntry(own, entry)) {
        throw new InvariantViolation(`${storageId} leads without committed ${describe(entry)}`);
      }
    }
  }

  #checkHasValues(reader: string, values: readonly number[], expected: readonly number[]): void {
    const missing = expected.find((value) => !values.includes(value));
    if (missing !== undefined) {
      throw new InvariantViolation(`${reader} does not see ${missing}, which was answered`);
    }
  }
}

/** Checks that two logs with the same entry at an index have the same entries before it. */
export function checkLogsMatch(left: StoredState, right: StoredState): void {
  const terms = new Map(left.entries.map((entry) => [entry.index, entry]));
  const shared = right.entries.filter((entry) => terms.has(entry.index));
  const lastSame = shared.findLast((entry) => terms.get(entry.index)?.term === entry.term);
  for (const entry of shared) {
    const other = terms.get(entry.index);
    if (
      entry.index <= (lastSame?.index ?? 0) &&
      other !== undefined &&
      !isSameEntry(entry, other)
    ) {
      throw new InvariantViolation(`logs differ at ${entry.index} before ${lastSame?.index ?? 0}`);
    }
  }
}

function isSameEntry(left: LogEntry, right: LogEntry): boolean {
  return (
    left.index === right.index &&
    left.term === right.term &&
    JSON.stringify(left.payload) === JSON.stringify(right.payload)
  );
}

function describe(entry: LogEntry): string {
  return `entry ${entry.index} of term ${entry.term} ${JSON.stringify(entry.payload)}`;
}
