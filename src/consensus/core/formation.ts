import type { Milliseconds } from '../../common/index.js';
import type { Elections } from './elections.js';
import { isMember, type Member, type NodeName, type StorageId } from './membership.js';
import type { FormationPromiseMessage, FormationQuestionMessage } from './messages.js';
import type { CoreState } from './state.js';

/** Term of the entry that holds the first membership; every leader has a later one. */
const formationTerm = 0;

/**
 * Forms the first membership, once, when the data folder of every voter is blank.
 * One host, the first by name, is the coordinator. The others sync a promise to its data folder before they answer, and
 * give it to no other: were a host wiped during a first start, two halves could otherwise form two logs. What else could
 * go wrong is that old answers count; a nonce of the coordinator's process excludes them.
 */
export class Formation {
  readonly #state: CoreState;
  readonly #elections: Elections;
  readonly #nonce: number;
  readonly #promises = new Map<NodeName, StorageId>();
  #askedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(state: CoreState, elections: Elections) {
    this.#state = state;
    this.#elections = elections;
    this.#nonce = state.settings.random.integerBelow(0x7fff_ffff);
  }

  tick(): void {
    const { log, self, now, settings } = this.#state;
    const isDue = now - this.#askedAt >= settings.tuning.heartbeat * 2;
    if (!isDue || isMember(log.membership, self.storageId)) {
      return;
    }
    this.#askedAt = now;
    if (this.#mayCoordinate()) {
      this.#ask();
    }
    this.#greet();
  }

  answerQuestion(coordinator: Member, message: FormationQuestionMessage): void {
    const { promisedTo, isBlank, outbox, self } = this.#state;
    const isPromisedElsewhere = promisedTo !== undefined && promisedTo !== coordinator.storageId;
    if (!isBlank || isPromisedElsewhere || this.#isCoordinator()) {
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
    if (!this.#mayCoordinate() || message.nonce !== this.#nonce) {
      return;
    }
    this.#promises.set(voter.name, voter.storageId);
    this.#formWhenComplete();
  }

  #ask(): void {
    const { settings, self, outbox } = this.#state;
    for (const peer of settings.peers) {
      const message = { sender: self.storageId, nonce: this.#nonce };
      outbox.send(peer, { type: 'formationQuestion', ...message });
    }
    this.#formWhenComplete();
  }

  #greet(): void {
    const { settings, self, outbox } = this.#state;
    for (const peer of settings.peers) {
      outbox.send(peer, { type: 'greeting', sender: self.storageId });
    }
  }

  #formWhenComplete(): void {
    const { settings, self } = this.#state;
    if (settings.peers.some((peer) => !this.#promises.has(peer))) {
      return;
    }
    const others = settings.peers.map((name): Member => ({
      name,
      storageId: this.#promises.get(name) ?? '',
    }));
    const membership = { voters: [self, ...others], learners: [] };
    this.#state.saveEntries(0, [
      { index: 1, term: formationTerm, payload: { type: 'membership', membership } },
    ]);
    this.#elections.hasten();
  }

  #mayCoordinate(): boolean {
    return this.#isCoordinator() && this.#state.isBlank && this.#state.promisedTo === undefined;
  }

  #isCoordinator(): boolean {
    const { name, peers } = this.#state.settings;
    return peers.every((peer) => name < peer);
  }
}
