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

/** Term of the entry that holds the first membership; every leader has a later one. */
const formationTerm = 0;

/**
 * Forms the first membership, once, when the data folders of all voters are blank at one moment.
 *
 * One host, the first by name, coordinates. It asks every host whether it is blank, and only when all have said so it
 * asks those data folders for a promise, which they sync before they answer and give to no other coordinator. A data
 * folder never becomes blank again, so one that is blank when it promises was blank when the last one had answered:
 * at that moment there was no log anywhere. Promises alone do not show this: a host could promise, be taken into the
 * existing log, and the hosts of that log be wiped one after the other, each promising while it is blank; two logs of
 * the same voters would be the end of it.
 */
export class Formation {
  readonly #state: CoreState;
  readonly #elections: Elections;
  /** Tells the answers to this attempt from earlier ones. */
  #nonce: number;
  readonly #blank = new Map<NodeName, StorageId>();
  readonly #promised = new Set<StorageId>();
  #askedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(state: CoreState, elections: Elections) {
    this.#state = state;
    this.#elections = elections;
    this.#nonce = this.#createNonce();
  }

  tick(): void {
    const { log, self, leader, now, settings } = this.#state;
    const isDue = now - this.#askedAt >= settings.tuning.heartbeat * 2;
    // A host that was taken out may not know it, and is told nothing any more; so it speaks up when it hears no leader.
    const isLed = isMember(log.membership, self.storageId) && leader !== undefined;
    if (!isDue || isLed) {
      return;
    }
    this.#askedAt = now;
    for (const peer of settings.peers) {
      this.#state.outbox.send(peer, { type: 'greeting', sender: self.storageId });
    }
    if (this.#mayCoordinate()) {
      this.#inquire();
      this.#askForPromises();
      this.#formWhenPromised();
    }
  }

  answerInquiry(coordinator: Member, message: FormationInquiryMessage): void {
    const { outbox, self } = this.#state;
    if (this.#mayTakePart(coordinator)) {
      outbox.sendWhenSynced(coordinator.name, {
        type: 'formationBlank',
        sender: self.storageId,
        recipient: coordinator.storageId,
        nonce: message.nonce,
      });
    }
  }

  handleBlank(voter: Member, message: FormationBlankMessage): void {
    if (!this.#mayCoordinate() || message.nonce !== this.#nonce) {
      return;
    }
    const known = this.#blank.get(voter.name);
    if (known !== undefined && known !== voter.storageId) {
      // The host was wiped since it answered, so the answers of the others no longer belong to one moment.
      this.#restart();
      return;
    }
    if (known === undefined) {
      this.#blank.set(voter.name, voter.storageId);
      this.#askForPromises();
    }
  }

  answerQuestion(coordinator: Member, message: FormationQuestionMessage): void {
    const { promisedTo, outbox, self } = this.#state;
    const isAsked = message.voters.some((voter) => voter.storageId === self.storageId);
    if (!isAsked || !this.#mayTakePart(coordinator)) {
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
    const isOfAttempt = message.nonce === this.#nonce;
    if (!this.#mayCoordinate() || !isOfAttempt || !this.#hasAllBlank()) {
      return;
    }
    this.#promised.add(voter.storageId);
    this.#formWhenPromised();
  }

  /** Asks again and again, also those that have answered: a host may have been wiped since. */
  #inquire(): void {
    const { settings, self, outbox } = this.#state;
    for (const peer of settings.peers) {
      const message = { sender: self.storageId, nonce: this.#nonce };
      outbox.send(peer, { type: 'formationInquiry', ...message });
    }
  }

  #askForPromises(): void {
    const { settings, self, outbox } = this.#state;
    if (!this.#hasAllBlank()) {
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
    this.#blank.clear();
    this.#promised.clear();
  }

  #formWhenPromised(): void {
    const { self } = this.#state;
    const voters = this.#listVoters();
    const isPromised = (voter: Member): boolean =>
      voter.storageId === self.storageId || this.#promised.has(voter.storageId);
    if (!this.#hasAllBlank() || !voters.every(isPromised)) {
      return;
    }
    const membership = { voters, learners: [] };
    this.#state.saveEntries(0, [
      { index: 1, term: formationTerm, payload: { type: 'membership', membership } },
    ]);
    this.#elections.hasten();
  }

  #listVoters(): readonly Member[] {
    const others = [...this.#blank].map(([name, storageId]): Member => ({ name, storageId }));
    return [this.#state.self, ...others];
  }

  #hasAllBlank(): boolean {
    return this.#state.settings.peers.every((peer) => this.#blank.has(peer));
  }

  #mayTakePart(coordinator: Member): boolean {
    const { promisedTo, isBlank } = this.#state;
    const isFree = promisedTo === undefined || promisedTo === coordinator.storageId;
    return isBlank && isFree && !this.#isCoordinator();
  }

  #mayCoordinate(): boolean {
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
