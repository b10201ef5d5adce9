import type { Milliseconds } from '../../common/index.js';
import type { Elections } from './elections.js';
import { isMember, type Member, type NodeName, type StorageId } from './membership.js';
import type {
  FormationBlankMessage,
  FormationInquiryMessage,
  FormationPromiseMessage,
  FormationQuestionMessage,
} from './messages.js';
import type { CoreState } from './state.js';

/** Term of the entry that holds the first membership. Every leader has a higher term. */
const formationTerm = 0;

/**
 * Bootstraps the cluster: creates the first membership, once, when the data folders of all voters are blank at the same
 * time.
 *
 * The host whose name sorts first is the coordinator. It first asks every host whether its data folder is blank. Only
 * after all have confirmed this does it ask the same data folders for a promise. A host syncs its promise before it
 * answers, and never promises to another coordinator. A data folder never becomes blank again, so one that is blank when
 * it promises was also blank when the last host confirmed: at that moment no log existed anywhere.
 *
 * Promises alone would not prove this. A host could promise and then be admitted to an existing log, and the hosts of
 * that log could then be wiped one after the other, each promising while it is blank. The result would be two logs with
 * the same voters.
 */
export class ClusterFormation {
  readonly #state: CoreState;
  readonly #elections: Elections;
  /** Distinguishes answers to this attempt from answers to earlier ones. */
  #nonce: number;
  readonly #blankHosts = new Map<NodeName, StorageId>();
  readonly #promises = new Set<StorageId>();
  #lastRequestAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(state: CoreState, elections: Elections) {
    this.#state = state;
    this.#elections = elections;
    this.#nonce = this.#createNonce();
  }

  tick(): void {
    const { log, self, leader, now, settings } = this.#state;
    const isDue = now - this.#lastRequestAt >= settings.tuning.heartbeat * 2;
    // A removed host is sent nothing more and may not know of its removal, so any host without a leader announces itself.
    const isLed = isMember(log.membership, self.storageId) && leader !== undefined;
    if (!isDue || isLed) {
      return;
    }
    this.#lastRequestAt = now;
    for (const peer of settings.peers) {
      this.#state.outbox.send(peer, { type: 'greeting', sender: self.storageId });
    }
    if (this.#canCoordinate()) {
      this.#inquire();
      this.#requestPromises();
      this.#formWhenPromised();
    }
  }

  answerInquiry(coordinator: Member, message: FormationInquiryMessage): void {
    const { outbox, self } = this.#state;
    if (this.#canParticipate(coordinator)) {
      outbox.sendWhenSynced(coordinator.name, {
        type: 'formationBlank',
        sender: self.storageId,
        recipient: coordinator.storageId,
        nonce: message.nonce,
      });
    }
  }

  handleBlank(voter: Member, message: FormationBlankMessage): void {
    if (!this.#canCoordinate() || message.nonce !== this.#nonce) {
      return;
    }
    const known = this.#blankHosts.get(voter.name);
    if (known !== undefined && known !== voter.storageId) {
      // The host was wiped after it answered, so the answers no longer describe one point in time.
      this.#restart();
      return;
    }
    if (known === undefined) {
      this.#blankHosts.set(voter.name, voter.storageId);
      this.#requestPromises();
    }
  }

  answerQuestion(coordinator: Member, message: FormationQuestionMessage): void {
    const { promisedTo, outbox, self } = this.#state;
    const isIncluded = message.voters.some((voter) => voter.storageId === self.storageId);
    if (!isIncluded || !this.#canParticipate(coordinator)) {
      return;
    }
    if (promisedTo === undefined) {
      this.#state.savePromise(coordinator.storageId);
    }
    outbox.sendWhenSynced(coordinator.name, {
      type: 'formationPromise',
      sender: self.storageId,
      recipient: coordinator.storageId,
      nonce: message.nonce,
    });
  }

  handlePromise(voter: Member, message: FormationPromiseMessage): void {
    const isForThisAttempt = message.nonce === this.#nonce;
    if (!this.#canCoordinate() || !isForThisAttempt || !this.#areAllBlank()) {
      return;
    }
    this.#promises.add(voter.storageId);
    this.#formWhenPromised();
  }

  /** Repeats the inquiry, also to hosts that have answered: a host may have been wiped in the meantime. */
  #inquire(): void {
    const { settings, self, outbox } = this.#state;
    for (const peer of settings.peers) {
      const message = { sender: self.storageId, nonce: this.#nonce };
      outbox.send(peer, { type: 'formationInquiry', ...message });
    }
  }

  #requestPromises(): void {
    const { settings, self, outbox } = this.#state;
    if (!this.#areAllBlank()) {
      return;
    }
    const voters = this.#listVoters();
    for (const peer of settings.peers) {
      const message = { sender: self.storageId, nonce: this.#nonce, voters };
      outbox.send(peer, { type: 'formationQuestion', ...message });
    }
  }

  #restart(): void {
    this.#nonce = this.#createNonce();
    this.#blankHosts.clear();
    this.#promises.clear();
  }

  #formWhenPromised(): void {
    const { self } = this.#state;
    const voters = this.#listVoters();
    const hasPromised = (voter: Member): boolean =>
      voter.storageId === self.storageId || this.#promises.has(voter.storageId);
    if (!this.#areAllBlank() || !voters.every(hasPromised)) {
      return;
    }
    const membership = { voters, learners: [] };
    this.#state.saveEntries(0, [
      { index: 1, term: formationTerm, payload: { type: 'membership', membership } },
    ]);
    this.#elections.startSoon();
  }

  #listVoters(): readonly Member[] {
    const others = [...this.#blankHosts].map(([name, storageId]): Member => ({ name, storageId }));
    return [this.#state.self, ...others];
  }

  #areAllBlank(): boolean {
    return this.#state.settings.peers.every((peer) => this.#blankHosts.has(peer));
  }

  #canParticipate(coordinator: Member): boolean {
    const { promisedTo, isBlank } = this.#state;
    const isAvailable = promisedTo === undefined || promisedTo === coordinator.storageId;
    return isBlank && isAvailable && !this.#isCoordinator();
  }

  #canCoordinate(): boolean {
    const { promisedTo, isBlank } = this.#state;
    return this.#isCoordinator() && isBlank && promisedTo === undefined;
  }

  #isCoordinator(): boolean {
    const { name, peers } = this.#state.settings;
    return peers.every((peer) => name < peer);
  }

  #createNonce(): number {
    return this.#state.settings.random.integerBelow(0x7fff_ffff);
  }
}
