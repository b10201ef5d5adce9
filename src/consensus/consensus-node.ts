import { setTimeout as sleep } from 'node:timers/promises';

import { Err, Ok, type Result } from 'ts-results';

import {
  createFailure,
  type Clock,
  type Failure,
  type ManagedPart,
  type Milliseconds,
  type RandomSource,
} from '../common/index.js';
import { Journal, type DataFolder } from '../storage/index.js';
import type { ConsensusEnvelope } from '../generated/pistachiospoke/v1/control_pb.js';
import {
  ConsensusCore,
  countCharacters,
  type CommittedEntry,
  type ConsensusEffect,
  type ConsensusEvent,
  type ConsensusMessage,
  type CoreTuning,
  type LogEntry,
  type Member,
  type Membership,
  type MembershipChange,
  type NodeName,
  type Proposal,
} from './core/index.js';
import { PendingCalls } from './pending-calls.js';
import type { LeadershipView, ReplicatedLog, StateMachine } from './replicated-log.js';
import { readEnvelopes } from './stream-transport.js';
import type { ConsensusTransport } from './transport.js';

/** Interval of the core's ticks: several per heartbeat, yet rare enough for their cost to be negligible. */
const tickInterval: Milliseconds = 50;
/** Longest wait for the confirmation of a read. Callers ask another host after a second without an answer. */
const readTimeout: Milliseconds = 750;
/** Longest time that a stopping leader waits for another host to take over. */
const resignTimeout: Milliseconds = 1000;

/** How long reading the data folder took, and what it held. */
export interface OpenedLog {
  readonly duration: Milliseconds;
  readonly snapshotIndex: number;
  /** Number of entries after the snapshot. */
  readonly entries: number;
}

/** The first entry that a leader has committed in its term; from then on it can confirm reads. */
export interface CommittedTerm {
  readonly term: number;
  readonly index: number;
  /** Time since this host became leader. */
  readonly duration: Milliseconds;
}

/** Receives events for an operator. */
export interface ConsensusObserver {
  readonly opened: (log: OpenedLog) => void;
  readonly termCommitted: (committed: CommittedTerm) => void;
  readonly leadershipChanged: (view: LeadershipView) => void;
  /** The node has stopped because of a failure (`diskFailed`, `internal`); the process must exit. */
  readonly failed: (failure: Failure) => void;
}

/** Options of a node. */
export interface ConsensusNodeOptions<Answer> {
  readonly name: NodeName;
  readonly peers: readonly NodeName[];
  readonly machine: StateMachine<Answer>;
  readonly folder: DataFolder;
  readonly transport: ConsensusTransport;
  readonly tuning: CoreTuning;
  /** Number of applied entries between two snapshots. */
  readonly snapshotInterval: number;
  /** Longest wait for a commit; then the submitter is answered `changeUncertain`. */
  readonly commitTimeout: Milliseconds;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly observer: ConsensusObserver;
}

/** Status of a control host, for operators. */
export interface ConsensusStatus {
  readonly self: Member;
  readonly view: LeadershipView;
  readonly membership: Membership;
  readonly lastIndex: number;
  readonly commitIndex: number;
  readonly snapshotIndex: number;
  /** Members that have not answered this leader for the shortest election timeout; empty if this host is not the leader. */
  readonly silentMembers: readonly NodeName[];
}

/** The replicated log of one control host: connects the core to the disk, the network and the clock. */
export class ConsensusNode<Answer> implements ReplicatedLog<Answer>, ManagedPart {
  readonly name = 'replicated log';
  readonly #options: ConsensusNodeOptions<Answer>;
  readonly #proposals = new PendingCalls<Answer>();
  readonly #reads = new PendingCalls<number>();
  readonly #membershipChanges = new PendingCalls<undefined>();
  readonly #journal: Journal;
  #core: ConsensusCore | undefined;
  #queuedProposals: Proposal[] = [];
  #snapshotIndex = 0;
  #appliedIndex = 0;
  /** Size of the commands applied since the last snapshot. */
  #appliedCharacters = 0;
  #leadingSince: Milliseconds = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ConsensusNodeOptions<Answer>) {
    this.#options = options;
    this.#journal = new Journal(options.folder, {
      persisted: (write) => {
        this.#handle({ type: 'persisted', now: this.#now(), write });
      },
      failed: (error) => {
        this.#fail(createFailure('diskFailed', String(error)));
      },
    });
  }

  /** Reads the data folder and joins the log; rejects with a FailureError when the folder is not usable. */
  async open(): Promise<void> {
    const { name, peers, machine, folder, tuning, random, transport, observer } = this.#options;
    const startedAt = this.#now();
    const stored = await folder.open();
    if (stored.snapshot !== undefined) {
      machine.restoreSnapshot(stored.snapshot.index, stored.snapshot.data);
      this.#snapshotIndex = stored.snapshot.index;
      this.#appliedIndex = stored.snapshot.index;
    }
    this.#core = new ConsensusCore({ name, peers, tuning, random }, stored);
    observer.opened({
      duration: this.#now() - startedAt,
      snapshotIndex: this.#snapshotIndex,
      entries: stored.entries.length,
    });
    transport.open();
    this.#timer = setInterval(() => {
      this.#tick();
    }, tickInterval);
  }

  async close(): Promise<void> {
    this.#stop(createFailure('changeUncertain', 'this control host stopped'));
    await this.#options.transport.close();
    await this.#journal.drain();
    await this.#options.folder.close();
  }

  /**
   * Transfers the leadership before a planned stop, so that nobody waits for an election timeout. Call it before the
   * server closes.
   */
  async resign(): Promise<void> {
    const deadline = this.#now() + resignTimeout;
    while (this.view().type === 'leader' && this.#now() < deadline) {
      this.#handle({ type: 'resignRequested', now: this.#now() });
      await sleep(tickInterval);
    }
  }

  readonly propose = (command: string): Promise<Result<Answer, Failure>> =>
    this.#proposals.begin(this.#now(), (proposalId) => {
      if (this.#core === undefined) {
        this.#proposals.settle(proposalId, new Err(createStoppedFailure()));
        return;
      }
      // Proposals made in one turn of the event loop are batched into one write and one message to each follower.
      if (this.#queuedProposals.length === 0) {
        setImmediate(() => {
          this.#submitProposals();
        });
      }
      this.#queuedProposals.push({ proposalId, command });
    });

  readonly confirmRead = (): Promise<Result<number, Failure>> =>
    this.#reads.begin(this.#now(), (readId) => {
      if (this.#core === undefined) {
        this.#reads.settle(readId, new Err(createStoppedFailure()));
        return;
      }
      this.#handle({ type: 'readRequested', now: this.#now(), readId });
    });

  /** Adds or removes a member; resolves once the change is committed. Leader only. */
  readonly changeMembers = (change: MembershipChange): Promise<Result<undefined, Failure>> =>
    this.#membershipChanges.begin(this.#now(), (requestId) => {
      if (this.#core === undefined) {
        this.#membershipChanges.settle(requestId, new Err(createStoppedFailure()));
        return;
      }
      this.#handle({ type: 'membershipRequested', now: this.#now(), requestId, change });
    });

  readonly view = (): LeadershipView => this.#core?.view ?? { type: 'leaderless', term: 0 };

  readonly appliedIndex = (): number => this.#appliedIndex;

  readonly staleness = (): Milliseconds =>
    this.#core?.staleness(this.#now()) ?? Number.POSITIVE_INFINITY;

  /** Undefined before `open` and after a failure. */
  get status(): ConsensusStatus | undefined {
    const core = this.#core;
    if (core === undefined) {
      return undefined;
    }
    const { self, view, membership, lastIndex, commitIndex, snapshotIndex, silentMembers } = core;
    return { self, view, membership, lastIndex, commitIndex, snapshotIndex, silentMembers };
  }

  /** Handles a message from another control host. */
  readonly receive = (from: NodeName, message: ConsensusMessage): void => {
    this.#handle({ type: 'received', now: this.#now(), from, message });
  };

  /** Handler of ConsensusService.Exchange. */
  readonly handleExchange = (envelopes: AsyncIterable<ConsensusEnvelope>): Promise<void> =>
    readEnvelopes(this.#options.name, envelopes, this.receive);

  #now(): Milliseconds {
    return this.#options.clock.monotonic();
  }

  #tick(): void {
    const now = this.#now();
    this.#handle({ type: 'tick', now });
    const failure = createFailure('changeUncertain', 'the commit took too long');
    this.#proposals.failStartedBy(now - this.#options.commitTimeout, failure);
    this.#reads.failStartedBy(
      now - readTimeout,
      createFailure('notFresh', 'not confirmed in time'),
    );
  }

  #submitProposals(): void {
    const proposals = this.#queuedProposals;
    this.#queuedProposals = [];
    this.#handle({ type: 'proposed', now: this.#now(), proposals });
  }

  #handle(event: ConsensusEvent): void {
    if (this.#core === undefined) {
      return;
    }
    try {
      for (const effect of this.#core.handle(event)) {
        this.#execute(effect);
      }
      this.#takeSnapshotWhenDue();
    } catch (error) {
      // The core throws only where continuing could violate an invariant of the log.
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.#fail(createFailure('internal', detail));
    }
  }

  #execute(effect: ConsensusEffect): void {
    switch (effect.type) {
      case 'send':
        this.#options.transport.send(effect.to, effect.message);
        return;
      case 'persist':
        this.#journal.add(effect.write, effect.change);
        return;
      case 'apply':
        effect.entries.forEach((committed) => {
          this.#apply(committed);
        });
        this.#broadcastCommit();
        return;
      case 'restore':
        this.#options.machine.restoreSnapshot(effect.snapshot.index, effect.snapshot.data);
        this.#snapshotIndex = effect.snapshot.index;
        this.#appliedIndex = effect.snapshot.index;
        this.#appliedCharacters = 0;
        return;
      case 'proposalFailed':
        this.#proposals.settle(effect.proposalId, new Err(effect.failure));
        return;
      case 'readConfirmed':
        this.#reads.settle(effect.readId, new Ok(effect.index));
        return;
      case 'readFailed':
        this.#reads.settle(effect.readId, new Err(effect.failure));
        return;
      case 'membershipAnswered': {
        const { requestId, failure } = effect;
        const result = failure === undefined ? new Ok(undefined) : new Err(failure);
        this.#membershipChanges.settle(requestId, result);
        return;
      }
      case 'leadershipChanged':
        this.#leadingSince = this.#now();
        this.#options.observer.leadershipChanged(effect.view);
        return;
    }
  }

  /**
   * A leader tells its followers of a commit at once. If this waited for the next tick, watchers of a follower would learn
   * of each change up to a tick interval later, and the repair of a group takes several successive changes.
   */
  #broadcastCommit(): void {
    if (this.view().type === 'leader') {
      setImmediate(() => {
        this.#handle({ type: 'tick', now: this.#now() });
      });
    }
  }

  #apply({ entry, proposalId }: CommittedEntry): void {
    this.#appliedIndex = entry.index;
    this.#appliedCharacters += countCharacters(entry);
    if (entry.payload.type === 'leaderStart') {
      this.#reportCommittedTerm(entry);
    }
    if (entry.payload.type !== 'command') {
      return;
    }
    const answer = this.#options.machine.apply(entry.index, entry.payload.command);
    if (proposalId !== undefined) {
      this.#proposals.settle(proposalId, new Ok(answer));
    }
  }

  #reportCommittedTerm({ index, term }: LogEntry): void {
    const view = this.view();
    if (view.type === 'leader' && view.term === term) {
      const duration = this.#now() - this.#leadingSince;
      this.#options.observer.termCommitted({ term, index, duration });
    }
  }

  #takeSnapshotWhenDue(): void {
    const { snapshotInterval, tuning, machine } = this.#options;
    const areFewEntries = this.#appliedIndex - this.#snapshotIndex < snapshotInterval;
    if (areFewEntries && this.#appliedCharacters < tuning.snapshotCharacters) {
      return;
    }
    const index = this.#appliedIndex;
    const data = machine.takeSnapshot();
    this.#snapshotIndex = index;
    this.#appliedCharacters = 0;
    this.#handle({ type: 'snapshotTaken', now: this.#now(), index, data });
  }

  #fail(failure: Failure): void {
    this.#stop(createFailure('changeUncertain', 'this control host failed'));
    this.#options.observer.failed(failure);
  }

  #stop(failure: Failure): void {
    clearInterval(this.#timer);
    this.#core = undefined;
    this.#queuedProposals = [];
    this.#proposals.failAll(failure);
    this.#reads.failAll(createFailure('notFresh', failure.detail));
    this.#membershipChanges.failAll(failure);
  }
}

function createStoppedFailure(): Failure {
  return createFailure('noQuorum', 'this control host does not take part now', 1000);
}
