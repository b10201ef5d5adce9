import type { Logger } from 'pino';

import {
  createFailure,
  encodeOutcome,
  findResultCodeName,
  type Clock,
  type ManagedPart,
  type Milliseconds,
} from '../../common/index.js';
import {
  ConsensusService,
  type AdmitRequest,
} from '../../generated/pistachiospoke/v1/control_pb.js';
import type { RpcClientPool } from '../../wire/index.js';
import { MembershipPolicy } from '../membership-policy.js';
import type { ControlLog } from './log.js';

/** Adds replacement control hosts to the membership of the replicated log, and removes failed ones. */

const interval: Milliseconds = 500;
const admitTimeout: Milliseconds = 1500;

/** Options of the membership manager. */
export interface MembershipManagerOptions {
  readonly name: string;
  readonly log: ControlLog;
  readonly clients: RpcClientPool;
  /** Number of voters that the deployment should have. */
  readonly voterCount: number;
  /** Addresses of the control hosts that may know the leader. */
  readonly listPeers: () => readonly string[];
  readonly findAddress: (name: string) => string | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Answer to a control host that requests admission. */
export interface AdmitAnswer {
  readonly resultCode: number;
  readonly message: string;
}

export class MembershipManager implements ManagedPart {
  readonly name = 'membership manager';
  readonly #options: MembershipManagerOptions;
  readonly #policy: MembershipPolicy;
  #timer: NodeJS.Timeout | undefined;
  #isBusy = false;
  #peerIndex = 0;

  constructor(options: MembershipManagerOptions) {
    this.#options = options;
    this.#policy = new MembershipPolicy(options.voterCount);
  }

  open(): void {
    this.#timer = setInterval(() => {
      void this.#step();
    }, interval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Handles an admission request of another control host. */
  async handleAdmitRequest({ name, storageId, forwarded }: AdmitRequest): Promise<AdmitAnswer> {
    const { log, findAddress, clients, logger } = this.#options;
    const view = log.view();
    if (view.type === 'leader') {
      return this.#admit(name, storageId);
    }
    const leader = view.type === 'follower' ? findAddress(view.leader) : undefined;
    if (leader === undefined || forwarded) {
      return encodeOutcome(createFailure('noQuorum', 'no leader is known here'));
    }
    try {
      const client = clients.client(ConsensusService, leader);
      const request = { name, storageId, forwarded: true };
      return await client.admit(request, { timeoutMs: admitTimeout });
    } catch (error) {
      logger.info({ leader, error: String(error) }, 'admission request could not be forwarded');
      return encodeOutcome(createFailure('noQuorum', String(error)));
    }
  }

  async #admit(name: string, storageId: string): Promise<AdmitAnswer> {
    const { log, logger } = this.#options;
    const { membership, silentMembers } = log.status ?? {};
    const members = [...(membership?.voters ?? []), ...(membership?.learners ?? [])];
    const earlier = members.find((member) => member.name === name);
    if (earlier?.storageId === storageId) {
      return encodeOutcome(undefined);
    }
    if (earlier !== undefined && silentMembers?.includes(name) !== true) {
      // If two processes have the same name, the one that responds keeps its membership.
      return encodeOutcome(createFailure('invalidCommand', `${name} is a member and answers`));
    }
    if (earlier === undefined && log.status !== undefined && !this.#policy.mayAdmit(log.status)) {
      return encodeOutcome(createFailure('noQuorum', 'enough control hosts vote'));
    }
    const result = await log.changeMembers({ type: 'admit', member: { name, storageId } });
    const failure = result.err ? result.val : undefined;
    logger.warn({ name, storageId, failure }, 'admission of control host requested');
    return encodeOutcome(failure);
  }

  async #step(): Promise<void> {
    const { log, clock } = this.#options;
    const { status } = log;
    if (this.#isBusy || status === undefined) {
      return;
    }
    const step = this.#policy.decide(status, clock.monotonic());
    this.#isBusy = true;
    try {
      switch (step.type) {
        case 'wait':
          break;
        case 'ask':
          await this.#requestAdmission(status.self.storageId);
          break;
        case 'remove':
          await this.#remove(step.name);
          break;
      }
    } finally {
      this.#isBusy = false;
    }
  }

  async #requestAdmission(storageId: string): Promise<void> {
    const { name, clients, listPeers, logger } = this.#options;
    const peers = listPeers();
    const address = peers[this.#peerIndex % Math.max(1, peers.length)];
    this.#peerIndex += 1;
    if (address === undefined) {
      return;
    }
    try {
      const client = clients.client(ConsensusService, address);
      const { resultCode, message } = await client.admit(
        { name, storageId, forwarded: false },
        { timeoutMs: admitTimeout },
      );
      const code = findResultCodeName(resultCode);
      logger.info({ address, code, message }, 'requested admission to the replicated log');
    } catch (error) {
      logger.info({ address, error: String(error) }, 'admission request failed');
      clients.retire(address);
    }
  }

  async #remove(name: string): Promise<void> {
    const { log, logger } = this.#options;
    const result = await log.changeMembers({ type: 'remove', name });
    const failure = result.err ? result.val : undefined;
    logger.warn({ name, failure }, 'silent control host taken out of the log');
  }
}
