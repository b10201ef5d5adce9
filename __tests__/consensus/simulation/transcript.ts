import type {
  ConsensusEffect,
  ConsensusMessage,
  DiskChange,
  LogEntry,
} from '../../../src/consensus/core/index.js';
import type { ClusterObserver, Envelope } from './simulated-cluster.js';

/** Records a session, one line per event; empty heartbeats and repeated answers are left out. */
export class Transcript implements ClusterObserver {
  readonly #lines: string[] = [];
  readonly #shownAnswers = new Map<string, string>();

  get text(): string {
    return `${this.#lines.join('\n')}\n`;
  }

  /** Adds a heading for the next part of the session. */
  note(text: string): void {
    this.#lines.push('', `# ${text}`);
  }

  readonly delivered = (now: number, { from, to, message }: Envelope): void => {
    const text = describeMessage(message);
    const isIdle = message.type === 'append' && message.entries.length === 0;
    const isRepeated = this.#shownAnswers.get(`${from} ${to}`) === text;
    if (!isIdle && !isRepeated) {
      this.#lines.push(`${now} ${from} -> ${to} ${text}`);
    }
    if (!isIdle) {
      this.#shownAnswers.set(`${from} ${to}`, text);
    }
  };

  readonly executed = (now: number, host: string, effect: ConsensusEffect): void => {
    const text = describeEffect(effect);
    if (text !== undefined) {
      this.#lines.push(`${now} ${host} ${text}`);
    }
  };
}

function describeMessage(message: ConsensusMessage): string {
  switch (message.type) {
    case 'preVote':
    case 'vote':
      return `${message.type} term ${message.term} last ${message.lastIndex}/${message.lastTerm}`;
    case 'preVoteAnswer':
    case 'voteAnswer':
      return `${message.type} term ${message.term} ${message.isGranted ? 'granted' : 'refused'}`;
    case 'append': {
      const entries = message.entries.map(describeEntry).join(', ');
      return `append term ${message.term} after ${message.previousIndex}: ${entries}`;
    }
    case 'appendAccepted':
      return `appendAccepted term ${message.term} through ${message.matchIndex}`;
    case 'appendRejected':
      return `appendRejected term ${message.term} wants ${message.wantedIndex}`;
    case 'snapshotChunk':
      return `snapshotChunk of ${message.snapshotIndex} at ${message.offset} of ${message.totalLength}`;
    case 'snapshotProgress':
      return `snapshotProgress of ${message.snapshotIndex} wants ${message.wantedOffset}`;
    case 'staleTerm':
    case 'electionInvitation':
      return `${message.type} ${message.term}`;
    case 'greeting':
    case 'formationInquiry':
    case 'formationBlank':
    case 'formationQuestion':
    case 'formationPromise':
      return `${message.type} of ${message.sender}`;
  }
}

function describeEffect(effect: ConsensusEffect): string | undefined {
  switch (effect.type) {
    case 'send':
      return undefined;
    case 'persist':
      return `writes ${describeChange(effect.change)}`;
    case 'apply':
      return `applies ${effect.entries.map(({ entry }) => describeEntry(entry)).join(', ')}`;
    case 'restore':
      return `restores ${effect.snapshot.index}`;
    case 'proposalFailed':
      return `proposal ${effect.proposalId}: ${effect.failure.code}`;
    case 'readConfirmed':
      return `read ${effect.readId} confirmed at ${effect.index}`;
    case 'readFailed':
      return `read ${effect.readId}: ${effect.failure.code}`;
    case 'membershipAnswered':
      return `members: ${effect.failure?.code ?? 'changed'}`;
    case 'leadershipChanged':
      return `sees ${JSON.stringify(effect.view)}`;
  }
}

function describeChange(change: DiskChange): string {
  switch (change.type) {
    case 'promise':
      return `promise to ${change.promisedTo}`;
    case 'hardState':
      return `term ${change.hardState.term} vote ${change.hardState.votedFor ?? 'none'}`;
    case 'append':
      return change.entries.map(describeEntry).join(', ');
    case 'snapshot':
      return `snapshot ${change.snapshot.index}, compacts through ${change.compactThrough}`;
  }
}

function describeEntry({ index, term, payload }: LogEntry): string {
  switch (payload.type) {
    case 'command':
      return `${index}/${term} ${payload.command}`;
    case 'leaderStart':
      return `${index}/${term} leaderStart`;
    case 'membership': {
      const { voters, learners } = payload.membership;
      const name = (member: { readonly storageId: string }): string => member.storageId;
      return `${index}/${term} voters [${voters.map(name).join(' ')}] learners [${learners.map(name).join(' ')}]`;
    }
  }
}
