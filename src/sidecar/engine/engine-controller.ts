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

/** Decides what the engine beside a sidecar is ordered; free of I/O. */

/**
 * An order whose effect does not show is sent again after this time: its answer, or the order itself, may have been lost.
 * Every order names its group and fencing number, so a second copy changes nothing.
 */
const repeatAfter: Milliseconds = 250;
/**
 * What an engine last said is believed for this long while its answers cannot be read; as long as control believes a report of a sidecar that
 * fell silent. Taken for the end of the engine at once, one spoilt answer would dissolve a group that serves.
 */
const longestUnreadable: Milliseconds = 3000;
/**
 * One answer may be lost. An engine that gives none for this long, which is at least two questions, is reported as silent: its group is
 * closed, because a member that does not answer holds up every stream of the group.
 */
const longestUnanswered: Milliseconds = 500;

/** What happens to the controller. */
export type EngineEvent =
  | { readonly type: 'read'; readonly now: Milliseconds; readonly reading: EngineReading }
  /** Something answers at the engine's address, and says nothing that can be read. */
  | { readonly type: 'unreadable'; readonly now: Milliseconds }
  /** No answer came in time, or its connection broke. */
  | { readonly type: 'unanswered'; readonly now: Milliseconds }
  /** It answers, and which instance it is could not be found out. */
  | { readonly type: 'notIdentified' }
  /** Nothing listens at the engine's address. */
  | { readonly type: 'refused' }
  /** The placed group that this host is a member of. */
  | { readonly type: 'assigned'; readonly group: EngineGroup | undefined }
  /** The model that the leader of control wants staged here. */
  | { readonly type: 'stagingWanted'; readonly model: string | undefined };

interface SentOrder {
  readonly key: string;
  readonly at: Milliseconds;
}

export class EngineController {
  readonly #host: string;
  #reading: EngineReading | undefined;
  #absence: EngineAbsence = 'notAsked';
  #readAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #unansweredSince: Milliseconds | undefined;
  /** The instance that was read last, also while nothing is known of it; undefined once it has ended. */
  #instance: InstanceIdentity | undefined;
  #group: EngineGroup | undefined;
  #stagingModel: string | undefined;
  #lastModel: string | undefined;
  #sent: SentOrder | undefined;

  constructor(host: string) {
    this.#host = host;
  }

  /** Undefined while nothing is known of the engine. */
  get reading(): EngineReading | undefined {
    return this.#reading;
  }

  /** Why there is no reading; undefined where there is one. */
  get absence(): EngineAbsence | undefined {
    return this.#reading === undefined ? this.#absence : undefined;
  }

  /** Model of the last group that the engine was ready in since it started. */
  get lastModel(): string | undefined {
    return this.#lastModel;
  }

  /** Whether the engine is on its way into or out of a group, so that it is worth asking it more often. */
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

  /** Takes an event; answers the order to send now, if any. */
  handle(event: EngineEvent): EngineOrder | undefined {
    switch (event.type) {
      case 'read':
        this.#unansweredSince = undefined;
        this.#takeReading(event.reading);
        this.#readAt = event.now;
        return this.#decide(event.now);
      case 'unreadable':
        this.#unansweredSince = undefined;
        if (event.now - this.#readAt > longestUnreadable) {
          this.#forgetReading('unreadable');
        }
        return undefined;
      case 'unanswered':
        this.#takeUnanswered(event.now);
        return undefined;
      case 'notIdentified':
        this.#unansweredSince = undefined;
        this.#forgetReading('notIdentified');
        return undefined;
      case 'refused':
        this.#unansweredSince = undefined;
        this.#forgetReading('refused');
        this.#forgetInstance(undefined);
        return undefined;
      case 'assigned':
        this.#group = event.group;
        return undefined;
      case 'stagingWanted':
        this.#stagingModel = event.model;
        return undefined;
    }
  }

  #takeUnanswered(now: Milliseconds): void {
    this.#unansweredSince ??= now;
    const isSilent = now - this.#unansweredSince >= longestUnanswered;
    this.#forgetReading(isSilent ? 'silent' : 'unanswered');
  }

  /** What it said before may be over; that nothing newer is known does not mean that the engine is. */
  #forgetReading(absence: EngineAbsence): void {
    this.#absence = absence;
    this.#reading = undefined;
  }

  #forgetInstance(next: InstanceIdentity | undefined): void {
    this.#instance = next;
    this.#lastModel = undefined;
    this.#sent = undefined;
  }

  #takeReading(reading: EngineReading): void {
    if (this.#instance === undefined || !isSameStart(reading.instance, this.#instance)) {
      this.#forgetInstance(reading.instance);
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
    if (this.#sent?.key === key && now - this.#sent.at < repeatAfter) {
      return undefined;
    }
    this.#sent = { key, at: now };
    return order;
  }

  #chooseOrder(): EngineOrder | undefined {
    const group = this.#group;
    if (group === undefined || !this.#isMember(group)) {
      return this.#chooseStaging();
    }
    const membership = this.#findMembership();
    const { name, fencingNumber } = group;
    switch (group.phase) {
      case 'joining': {
        const members = group.members.map(({ instance }) => instance.id);
        return membership === undefined
          ? { type: 'join', group: name, fencingNumber, model: group.model, members }
          : this.#chooseStaging();
      }
      case 'opening':
        return this.#isHead() && membership?.state === 'ready'
          ? { type: 'open', group: name, fencingNumber }
          : undefined;
      case 'closing':
        return this.#chooseClosing(membership);
      case 'open':
      case 'draining':
        return this.#chooseStaging();
    }
  }

  /**
   * The head closes and then leaves: an order to open that was lost on its way could otherwise open the group again after its
   * members have gone to other groups.
   */
  #chooseClosing(membership: EngineMembership | undefined): EngineOrder | undefined {
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

  #chooseStaging(): EngineOrder | undefined {
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
