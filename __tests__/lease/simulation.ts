import {
  type LeaseAnswer,
  type LeaseLead,
  type LeaseLeadEffect,
  type LeaseMember,
  type LeaseQuestion,
} from '../../src/lease/index.js';
import { findLead, type Group } from '../../src/model/index.js';
import {
  createGroup,
  duration,
  realClasses,
  type LeaseClasses,
  type Step,
} from './simulation-steps.js';

/** Simulates a few hosts with their own clocks and unordered messages between them; each possible fault is a step. */

type Message =
  | { readonly type: 'question'; readonly to: number; readonly question: LeaseQuestion }
  | {
      readonly type: 'answer';
      readonly to: number;
      readonly lead: LeaseLead;
      readonly answer: LeaseAnswer;
    };

interface Host {
  readonly index: number;
  readonly rate: number;
  start: number;
  member: LeaseMember;
  /** By fencing number. */
  readonly leads: Map<number, { readonly group: Group; readonly lead: LeaseLead; wakeAt: number }>;
  isFrozen: boolean;
  isDraining: boolean;
}

/** Runs real members and leads through a history; `check` verifies the invariants of the current state. */
export class LeaseSimulation {
  readonly #classes: LeaseClasses;
  readonly #hosts: readonly Host[];
  #now = 0;
  #messages: readonly Message[] = [];
  #groups: readonly Group[] = [];
  #fencingNumber = 0;
  /** Time and incarnation of the last grant, by `member/fencing number`. */
  readonly #grants = new Map<string, { readonly at: number; readonly start: number }>();

  /** `rates` are the speeds of the hosts' clocks relative to true time. */
  constructor(rates: readonly number[], classes: LeaseClasses = realClasses) {
    this.#classes = classes;
    this.#hosts = rates.map((rate, index) => ({
      index,
      rate,
      start: 1,
      member: this.#createMember(index, 1),
      leads: new Map(),
      isFrozen: false,
      isDraining: false,
    }));
    for (const host of this.#hosts) {
      this.#startMember(host);
    }
  }

  get newestFencingNumber(): number {
    return this.#fencingNumber;
  }

  step(step: Step): void {
    switch (step.type) {
      case 'pass':
        this.#pass(step.milliseconds);
        return;
      case 'deliver':
      case 'duplicate':
      case 'drop':
        this.#moveMessage(step.type, step.index);
        return;
      case 'deliverAll':
        this.#deliverAll();
        return;
      case 'place':
        this.#place(step.members);
        return;
      case 'restart':
      case 'freeze':
      case 'thaw':
      case 'updatePlacements':
      case 'fail':
      case 'recover':
      case 'drain':
      case 'disconnect':
        this.#stepHost(step.type, this.#host(step.host));
    }
  }

  /** Ends all faults and advances time by three leases; the newest placement must then be whole. */
  heal(): void {
    for (const host of this.#hosts) {
      host.isFrozen = false;
      if (host.isDraining) {
        this.#restart(host);
      }
    }
    for (let time = 0; time < 3 * duration; time += duration / 8) {
      this.#hosts.forEach((host) => {
        this.#updatePlacements(host);
        this.#setHealth(host, true);
      });
      this.#pass(duration / 8);
      this.#deliverAll();
    }
  }

  /** Fencing numbers of the placements that are whole now. */
  listWhole(): readonly number[] {
    return this.#listLeads()
      .filter(({ host, lead }) => lead.isWhole(this.#clock(host)))
      .map(({ group }) => group.fencingNumber);
  }

  /** Returns a description of a violated invariant, or undefined. */
  check(): string | undefined {
    const holders = new Map<string, number>();
    for (const { host, group, lead } of this.#listLeads()) {
      if (!lead.isWhole(this.#clock(host))) {
        continue;
      }
      for (const { host: name } of group.members) {
        const other = holders.get(name);
        if (other !== undefined && other !== group.fencingNumber) {
          return `${name} serves in ${other} and ${group.fencingNumber}`;
        }
        holders.set(name, group.fencingNumber);
        const fault = this.#checkMember(name, group);
        if (fault !== undefined) {
          return fault;
        }
      }
    }
    return undefined;
  }

  /**
   * Checks that the lease is valid on the member's own clock, or that the member restarted within one lease and holds
   * no grant while it waits.
   */
  #checkMember(name: string, group: Group): string | undefined {
    const host = this.#host(Number(name));
    const holder = host.member.holder(this.#clock(host));
    if (holder?.fencingNumber === group.fencingNumber) {
      return undefined;
    }
    const grant = this.#grants.get(`${name}/${group.fencingNumber}`);
    const isWaiting = grant !== undefined && grant.start < host.start && holder === undefined;
    if (isWaiting && this.#now - grant.at < duration) {
      return undefined;
    }
    return `${group.fencingNumber} is whole without ${name}, held by ${holder?.fencingNumber ?? 'none'}`;
  }

  #stepHost(type: Extract<Step, { readonly host: number }>['type'], host: Host): void {
    switch (type) {
      case 'restart':
        this.#restart(host);
        return;
      case 'freeze':
        host.isFrozen = true;
        return;
      case 'thaw':
        host.isFrozen = false;
        this.#tick(host);
        return;
      case 'updatePlacements':
        this.#updatePlacements(host);
        return;
      case 'fail':
      case 'recover':
        this.#setHealth(host, type === 'recover');
        return;
      case 'drain':
        this.#drain(host);
        return;
      case 'disconnect':
        this.#disconnect(host);
    }
  }

  #pass(milliseconds: number): void {
    this.#now += milliseconds;
    for (const host of this.#hosts) {
      this.#tick(host);
    }
  }

  #tick(host: Host): void {
    if (host.isFrozen) {
      return;
    }
    for (const held of host.leads.values()) {
      if (held.wakeAt <= this.#clock(host)) {
        this.#applyEffects(held, held.lead.handle({ type: 'ticked', now: this.#clock(host) }));
      }
    }
  }

  #deliverAll(): void {
    for (let round = 0; round < 4; round += 1) {
      const waiting = this.#messages;
      this.#messages = [];
      for (const message of waiting) {
        this.#deliver(message);
      }
    }
  }

  #moveMessage(type: 'deliver' | 'duplicate' | 'drop', index: number): void {
    const message = this.#messages[index % Math.max(1, this.#messages.length)];
    if (message === undefined) {
      return;
    }
    if (type !== 'duplicate') {
      this.#messages = this.#messages.filter((other) => other !== message);
    }
    if (type !== 'drop') {
      this.#deliver(message);
    }
  }

  /** Keeps messages to a frozen host; drops answers to a lead that no longer exists, since its connection is closed. */
  #deliver(message: Message): void {
    const host = this.#host(message.to);
    if (host.isFrozen) {
      this.#messages = [...this.#messages, message];
      return;
    }
    const now = this.#clock(host);
    if (message.type === 'question') {
      for (const { answer } of host.member.handle({
        type: 'asked',
        now,
        question: message.question,
      })) {
        this.#send(host, answer, Number(message.question.lead));
      }
      return;
    }
    const held = host.leads.get(message.answer.fencingNumber);
    if (held?.lead === message.lead) {
      const event = { type: 'answered', now, answer: message.answer } as const;
      this.#applyEffects(held, held.lead.handle(event));
    }
  }

  #send(host: Host, answer: LeaseAnswer, to: number): void {
    const lead = this.#host(to).leads.get(answer.fencingNumber)?.lead;
    if (answer.verdict.type === 'granted' && answer.verdict.duration > 0) {
      const grant = { at: this.#now, start: host.start };
      this.#grants.set(`${host.index}/${answer.fencingNumber}`, grant);
    }
    if (lead !== undefined) {
      this.#messages = [...this.#messages, { type: 'answer', to, lead, answer }];
    }
  }

  #applyEffects(held: { wakeAt: number }, effects: readonly LeaseLeadEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'ask') {
        const { question, member } = effect;
        const to = Number(member.host);
        this.#messages = [...this.#messages, { type: 'question', to, question }];
      } else if (effect.type === 'wake') {
        held.wakeAt = effect.at;
      }
    }
  }

  #place(members: readonly number[]): void {
    this.#fencingNumber += 1;
    const names = [...new Set(members.map((member) => this.#host(member).index))];
    this.#groups = [
      ...this.#groups.filter(
        (group) => !group.members.some(({ host }) => names.includes(Number(host))),
      ),
      createGroup(this.#fencingNumber, names),
    ];
  }

  /** Informs a host of control's current placements; without this step it continues with the previous ones. */
  #updatePlacements(host: Host): void {
    const now = this.#clock(host);
    for (const [fencingNumber, held] of host.leads) {
      if (!this.#groups.includes(held.group)) {
        this.#applyEffects(held, held.lead.handle({ type: 'dissolved', now }));
        host.leads.delete(fencingNumber);
      }
    }
    for (const group of this.#groups) {
      const { name, fencingNumber } = group;
      if (group.members.some((member) => member.host === String(host.index))) {
        const event = {
          type: 'readinessChanged',
          now,
          group: name,
          fencingNumber,
          isReady: true,
        } as const;
        host.member.handle(event);
      }
      if (findLead(group).host === String(host.index) && !host.leads.has(fencingNumber)) {
        this.#startLead(host, group);
      }
    }
  }

  #startLead(host: Host, group: Group): void {
    const incarnation = `${host.index}/${host.start}`;
    const timing = { duration, confirmBatchDelay: 3, confirmTimeout: 50 };
    const lead = this.#classes.createLead({ group, incarnation, ...timing });
    const held = { group, lead, wakeAt: Infinity };
    host.leads.set(group.fencingNumber, held);
    this.#applyEffects(held, lead.handle({ type: 'started', now: this.#clock(host) }));
  }

  #restart(host: Host): void {
    host.start += 1;
    host.leads.clear();
    host.isFrozen = false;
    host.isDraining = false;
    host.member = this.#createMember(host.index, host.start);
    this.#startMember(host);
  }

  #startMember(host: Host): void {
    host.member.handle({ type: 'started', now: this.#clock(host) });
    this.#setHealth(host, true);
  }

  #setHealth(host: Host, isHealthy: boolean): void {
    const now = this.#clock(host);
    for (const { to, answer } of host.member.handle({ type: 'healthChanged', now, isHealthy })) {
      this.#send(host, answer, Number(to));
    }
  }

  #drain(host: Host): void {
    host.isDraining = true;
    const now = this.#clock(host);
    for (const { to, answer } of host.member.handle({ type: 'drainRequested', now })) {
      this.#send(host, answer, Number(to));
    }
  }

  /** Closes all connections of leads to this host. */
  #disconnect(host: Host): void {
    for (const { host: other, lead, held } of this.#listLeads()) {
      const event = {
        type: 'connectionClosed',
        now: this.#clock(other),
        member: String(host.index),
      } as const;
      if (!other.isFrozen) {
        this.#applyEffects(held, lead.handle(event));
      }
    }
  }

  #listLeads() {
    return this.#hosts.flatMap((host) =>
      [...host.leads.values()].map((held) => ({ host, group: held.group, lead: held.lead, held })),
    );
  }

  #createMember(index: number, start: number): LeaseMember {
    const incarnation = `${index}/${start}`;
    return this.#classes.createMember({ host: String(index), incarnation, longestLease: duration });
  }

  /** Each clock has its own offset and rate. */
  #clock(host: Host): number {
    return 100_000 * host.index + this.#now * host.rate;
  }

  #host(index: number): Host {
    const host = this.#hosts[index % this.#hosts.length];
    if (host === undefined) {
      throw new Error('the simulation has no hosts');
    }
    return host;
  }
}
