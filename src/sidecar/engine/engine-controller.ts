import type { Milliseconds } from '../../common/index.js';
import {
  isSameInstance,
  isSameStart,
  type EngineAbsence,
  type EngineGroup,
  type EngineMembership,
  type EngineReading,
  type InstanceIdentity,
} from '../../routing/index.js';
import type { EngineOrder } from './engine-port.js';

/** Decides which orders a sidecar sends to its local engine; performs no I/O. */

/**
 * An order without visible effect is resent after this interval, because the order or its answer may have been lost.
 * Resending is safe: orders name their group and fencing number, so a duplicate changes nothing.
 */
const resendInterval: Milliseconds = 250;
/**
 * The last reading stays valid for this long while responses are unreadable; control trusts the last report of a silent sidecar for the
 * same time. Treating the first corrupted response as the end of the engine would dissolve a serving group.
 */
const unreadableTimeout: Milliseconds = 3000;
/**
 * A single response may be lost. An engine that does not respond for this long, which covers at least two polls, is reported as silent.
 * Its group is then closed, because an unresponsive member stalls every stream of the group.
 */
const silenceTimeout: Milliseconds = 500;

/** Input events of the controller. */
export type EngineEvent =
  | { readonly type: 'read'; readonly now: Milliseconds; readonly reading: EngineReading }
  /** A response arrived from the engine's address but could not be parsed. */
  | { readonly type: 'unreadable'; readonly now: Milliseconds }
  /** The request timed out or its connection broke. */
  | { readonly type: 'unanswered'; readonly now: Milliseconds }
  /** The engine responds, but its instance id could not be determined. */
  | { readonly type: 'notIdentified' }
  /** Nothing listens on the engine's address. */
  | { readonly type: 'refused' }
  /** The placed group that this host is a member of; undefined if there is none. */
  | { readonly type: 'assigned'; readonly group: EngineGroup | undefined }
  /** The model that the control leader wants staged on this host. */
  | { readonly type: 'stagingWanted'; readonly model: string | undefined };

interface SentOrder {
  readonly key: string;
  readonly sentAt: Milliseconds;
}

export class EngineController {
  readonly #host: string;
  #reading: EngineReading | undefined;
  #absence: EngineAbsence = 'notAsked';
  #readAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #unansweredSince: Milliseconds | undefined;
  /** The instance of the last reading, kept while there is no current reading; undefined once the engine has terminated. */
  #instance: InstanceIdentity | undefined;
  #group: EngineGroup | undefined;
  #stagingModel: string | undefined;
  #lastModel: string | undefined;
  #lastSent: SentOrder | undefined;

  constructor(host: string) {
    this.#host = host;
  }

  /** The current reading; undefined while the state of the engine is unknown. */
  get reading(): EngineReading | undefined {
    return this.#reading;
  }

  /** Why there is no reading; undefined if there is one. */
  get absence(): EngineAbsence | undefined {
    return this.#reading === undefined ? this.#absence : undefined;
  }

  /** Model of the last group in which the engine has been ready since it started. */
  get lastModel(): string | undefined {
    return this.#lastModel;
  }

  /** Whether the engine is joining, opening, closing or draining a group and should be polled more often. */
  get isChanging(): boolean {
    const state = this.#findMembership()?.state;
    switch (this.#group?.phase) {
      case 'joining':
        return state !== 'ready';
      case 'opening':
        return this.#isHead() && state !== 'open';
      case 'closing':
        return this.#isHead() && state !== undefined;
      case 'draining':
        return this.#isHead();
      case 'open':
      case undefined:
        return false;
    }
  }

  /** Handles an event and returns the order to send now, if any. */
  handle(event: EngineEvent): EngineOrder | undefined {
    switch (event.type) {
      case 'read':
        this.#unansweredSince = undefined;
        this.#applyReading(event.reading);
        this.#readAt = event.now;
        return this.#decide(event.now);
      case 'unreadable':
        this.#unansweredSince = undefined;
        if (event.now - this.#readAt > unreadableTimeout) {
          this.#clearReading('unreadable');
        }
        return undefined;
      case 'unanswered':
        this.#handleUnanswered(event.now);
        return undefined;
      case 'notIdentified':
        this.#unansweredSince = undefined;
        this.#clearReading('notIdentified');
        return undefined;
      case 'refused':
        this.#unansweredSince = undefined;
        this.#clearReading('refused');
        this.#resetInstance(undefined);
        return undefined;
      case 'assigned':
        this.#group = event.group;
        return undefined;
      case 'stagingWanted':
        this.#stagingModel = event.model;
        return undefined;
    }
  }

  #handleUnanswered(now: Milliseconds): void {
    this.#unansweredSince ??= now;
    const isSilent = now - this.#unansweredSince >= silenceTimeout;
    this.#clearReading(isSilent ? 'silent' : 'unanswered');
  }

  /** Discards the outdated reading but keeps the instance: a missing response does not prove that the engine has terminated. */
  #clearReading(absence: EngineAbsence): void {
    this.#absence = absence;
    this.#reading = undefined;
  }

  #resetInstance(next: InstanceIdentity | undefined): void {
    this.#instance = next;
    this.#lastModel = undefined;
    this.#lastSent = undefined;
  }

  #applyReading(reading: EngineReading): void {
    if (this.#instance === undefined || !isSameStart(reading.instance, this.#instance)) {
      this.#resetInstance(reading.instance);
    }
    this.#reading = reading;
    const membership = this.#findMembership();
    if (membership !== undefined && membership.state !== 'joining') {
      this.#lastModel = this.#group?.model;
    }
  }

  #decide(now: Milliseconds): EngineOrder | undefined {
    const order = this.#chooseOrder();
    if (order === undefined) {
      return undefined;
    }
    const key = JSON.stringify(order);
    if (this.#lastSent?.key === key && now - this.#lastSent.sentAt < resendInterval) {
      return undefined;
    }
    this.#lastSent = { key, sentAt: now };
    return order;
  }

  #chooseOrder(): EngineOrder | undefined {
    const group = this.#group;
    if (group === undefined || !this.#isMember(group)) {
      return this.#chooseStagingOrder();
    }
    const membership = this.#findMembership();
    const { name, fencingNumber } = group;
    switch (group.phase) {
      case 'joining': {
        const members = group.members.map(({ instance }) => instance.id);
        return membership === undefined
          ? this.#chooseJoiningOrder({
              type: 'join',
              group: name,
              fencingNumber,
              model: group.model,
              members,
            })
          : this.#chooseStagingOrder();
      }
      case 'opening':
        return this.#isHead() && membership?.state === 'ready'
          ? { type: 'open', group: name, fencingNumber }
          : undefined;
      case 'closing':
        return this.#chooseClosingOrder(membership);
      case 'open':
      case 'draining':
        return this.#chooseStagingOrder();
    }
  }

  /** An engine that still serves another group closes it first, so that no request is split between two groups. */
  #chooseJoiningOrder(join: EngineOrder): EngineOrder | undefined {
    const other = this.#reading?.membership;
    switch (other?.state) {
      case 'open':
        return { type: 'close', group: other.group, fencingNumber: other.fencingNumber };
      case 'closing':
        return undefined;
      case 'joining':
      case 'ready':
      case 'broken':
      case undefined:
        return join;
    }
  }

  /**
   * The head closes and then leaves the group. Otherwise a delayed open order could reopen the group after its members have
   * joined other groups.
   */
  #chooseClosingOrder(membership: EngineMembership | undefined): EngineOrder | undefined {
    if (!this.#isHead() || membership === undefined) {
      return undefined;
    }
    const { group, fencingNumber } = membership;
    switch (membership.state) {
      case 'open':
        return { type: 'close', group, fencingNumber };
      case 'ready':
      case 'joining':
      case 'broken':
        return { type: 'leave', group, fencingNumber };
      case 'closing':
        return undefined;
    }
  }

  #chooseStagingOrder(): EngineOrder | undefined {
    const model = this.#stagingModel;
    const reading = this.#reading;
    if (model === undefined || reading === undefined || reading.isBusy) {
      return undefined;
    }
    return reading.staged.includes(model) ? undefined : { type: 'stage', model };
  }

  #findMembership(): EngineMembership | undefined {
    const membership = this.#reading?.membership;
    const group = this.#group;
    const isThis =
      membership !== undefined &&
      membership.group === group?.name &&
      membership.fencingNumber === group.fencingNumber;
    return isThis ? membership : undefined;
  }

  #isMember(group: EngineGroup): boolean {
    const reading = this.#reading;
    return group.members.some(({ host, instance }) => {
      return (
        host === this.#host && reading !== undefined && isSameInstance(instance, reading.instance)
      );
    });
  }

  #isHead(): boolean {
    return this.#group?.members[0]?.host === this.#host;
  }
}
