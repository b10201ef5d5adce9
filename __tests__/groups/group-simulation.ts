import { LeaseLead, type LeaseAnswer, type LeaseLeadEffect } from '../../src/lease/index.js';
import {
  findLead,
  type Artifact,
  type Configuration,
  type Group,
  type GroupHealth,
} from '../../src/model/index.js';
import { describeGroup, loadDuration, SimulatedControl } from './simulated-control.js';
import {
  describeHost,
  leaseDuration,
  restartHost,
  startHost,
  type LedGroup,
  type SimulatedHost,
} from './simulated-host.js';

/**
 * Simulates a few hosts and one control host for golden files. Decisions use the real code, in steps of 50 ms. Messages arrive
 * at once or, over a cut link, not at all. Events are recorded as lines of text.
 */

const stepMilliseconds = 50;
const reportInterval = 1000;
const placementInterval = 250;

export class GroupSimulation {
  readonly #lines: string[] = [];
  readonly #hosts: ReadonlyMap<string, SimulatedHost>;
  readonly #control: SimulatedControl;
  readonly #cutLinks = new Set<string>();
  /** Messages in transit, delivered only after the effects of the step that sent them. */
  readonly #messages: (() => void)[] = [];
  #now = 0;

  constructor(
    names: readonly string[],
    configuration: Configuration,
    options: { readonly loaded?: Artifact; readonly rates?: Readonly<Record<string, number>> } = {},
  ) {
    this.#control = new SimulatedControl(configuration, (line) => {
      this.#log(line);
    });
    this.#hosts = new Map(
      names.map((name) => [name, startHost(name, options.rates?.[name] ?? 1, options.loaded)]),
    );
  }

  /** The recorded events as text. */
  get text(): string {
    return `${this.#lines.join('\n')}\n`;
  }

  /** Advances the simulated time. */
  advance(milliseconds: number): void {
    for (const end = this.#now + milliseconds; this.#now < end;) {
      this.#now += stepMilliseconds;
      this.#step();
    }
  }

  /** Records a heading for the next action. */
  logHeading(text: string): void {
    this.#log(`-- ${text}`);
  }

  /** Terminates the process, which closes its connections. */
  kill(name: string): void {
    this.logHeading(`${name} is killed`);
    this.#stop(name);
    for (const host of this.#hosts.values()) {
      for (const led of host.leads.values()) {
        const event = {
          type: 'connectionClosed',
          now: this.#readClock(host),
          member: name,
        } as const;
        this.#applyLeadEffects(host, led, led.lead.handle(event));
      }
    }
    this.#control.handleClosedConnection(name, this.#now);
  }

  /** Simulates a power loss: connections do not close and nothing responds. */
  powerOff(name: string): void {
    this.logHeading(`${name} goes dark`);
    this.#stop(name);
  }

  start(name: string, loaded?: Artifact): void {
    this.logHeading(`${name} starts again`);
    const host = this.#find(name);
    host.loaded = loaded ?? host.loaded;
    restartHost(host, this.#readClock(host));
  }

  freeze(name: string): void {
    this.logHeading(`${name} is frozen`);
    this.#find(name).state = 'frozen';
  }

  resume(name: string): void {
    this.logHeading(`${name} goes on`);
    this.#find(name).state = 'running';
    this.attempt(name);
  }

  /** Drops all messages between the two; `control` is a valid name too. */
  cutLink(one: string, other: string): void {
    this.logHeading(`${one} and ${other} are cut off from each other`);
    this.#cutLinks.add(createLinkKey(one, other));
  }

  restoreLink(one: string, other: string): void {
    this.logHeading(`${one} and ${other} reach each other again`);
    this.#cutLinks.delete(createLinkKey(one, other));
  }

  /** Sets the number of attempts in flight at the groups that a host leads. */
  setRunning(name: string, running: number): void {
    this.logHeading(`${name} has ${running} attempts in flight`);
    const host = this.#find(name);
    host.running = running;
    for (const led of host.leads.values()) {
      const event = { type: 'attemptsChanged', now: this.#readClock(host), running } as const;
      this.#applyLeadEffects(host, led, led.lead.handle(event));
    }
  }

  drain(name: string): void {
    this.logHeading(`${name} is to stop`);
    const host = this.#find(name);
    host.isDraining = true;
    this.#sendAnswers(
      host.member.handle({ type: 'drainRequested', now: this.#readClock(host) }),
      host,
    );
    this.#deliver();
  }

  /** Records how each placement that the host leads would answer a new attempt now. */
  attempt(name: string): void {
    const host = this.#find(name);
    for (const { group, lead } of host.leads.values()) {
      this.#log(
        `${name}: ${describeGroup(group)} answers an attempt: ${lead.checkAdmission(this.#readClock(host))}`,
      );
    }
  }

  configure(configuration: Configuration): void {
    this.#control.configure(configuration);
  }

  #step(): void {
    for (const host of this.#hosts.values()) {
      if (host.state === 'running') {
        this.#stepHost(host);
      }
    }
    this.#deliver();
    if (this.#now % placementInterval === 0) {
      this.#control.tick(this.#now);
    }
  }

  #stepHost(host: SimulatedHost): void {
    if (this.#isLinked(host.name, 'control')) {
      this.#applyPlacements(host);
      if (this.#now % reportInterval === 0) {
        this.#report(host);
      }
    }
    for (const led of host.leads.values()) {
      if (led.lead.isDraining) {
        const event = {
          type: 'attemptsChanged',
          now: this.#readClock(host),
          running: host.running,
        } as const;
        this.#applyLeadEffects(host, led, led.lead.handle(event));
      }
      if (led.nextTickAt <= this.#readClock(host)) {
        this.#applyLeadEffects(
          host,
          led,
          led.lead.handle({ type: 'ticked', now: this.#readClock(host) }),
        );
      }
    }
  }

  #report(host: SimulatedHost): void {
    const groups = [...host.leads.values()].map(({ lead }) => lead.health(this.#readClock(host)));
    this.#control.handleReport(describeHost(host), groups, this.#now);
  }

  /** Applies the current placements at a host. */
  #applyPlacements(host: SimulatedHost): void {
    for (const [fencingNumber, led] of host.leads) {
      const present = this.#control.groups.get(led.group.name);
      if (present?.fencingNumber !== fencingNumber) {
        this.#applyLeadEffects(
          host,
          led,
          led.lead.handle({ type: 'dissolved', now: this.#readClock(host) }),
        );
        host.leads.delete(fencingNumber);
      } else if (present.isDraining && !led.lead.isDraining) {
        this.#applyLeadEffects(
          host,
          led,
          led.lead.handle({ type: 'drainRequested', now: this.#readClock(host) }),
        );
      }
    }
    for (const group of this.#control.groups.values()) {
      if (group.members.some((member) => member.host === host.name)) {
        this.#updateReadiness(host, group);
      }
      if (findLead(group).host === host.name && !host.leads.has(group.fencingNumber)) {
        this.#startLead(host, group);
      }
    }
  }

  #updateReadiness(host: SimulatedHost, group: Group): void {
    if (group.offer.type !== 'model') {
      return;
    }
    const { artifact } = group.offer;
    const isReady = host.loaded?.version === artifact.version;
    if (!isReady && host.loadingUntil === Infinity) {
      host.loadingUntil = this.#now + loadDuration;
    }
    if (!isReady && host.loadingUntil <= this.#now) {
      host.loaded = artifact;
      host.loadingUntil = Infinity;
      this.#log(`${host.name}: loaded`);
    }
    const { name, fencingNumber } = group;
    const now = this.#readClock(host);
    host.member.handle({ type: 'readinessChanged', now, group: name, fencingNumber, isReady });
  }

  #startLead(host: SimulatedHost, group: Group): void {
    const lead = new LeaseLead({
      group,
      incarnation: `${host.name}/${host.start}`,
      duration: leaseDuration,
      confirmBatchDelay: 3,
      confirmTimeout: 250,
    });
    const led: LedGroup = { group, lead, nextTickAt: Infinity, health: undefined };
    host.leads.set(group.fencingNumber, led);
    this.#applyLeadEffects(host, led, lead.handle({ type: 'started', now: this.#readClock(host) }));
  }

  #applyLeadEffects(host: SimulatedHost, led: LedGroup, effects: readonly LeaseLeadEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'ask':
          this.#sendQuestion(host, effect);
          break;
        case 'wake':
          led.nextTickAt = effect.at;
          break;
        case 'healthChanged':
          this.#logHealth(host, led, effect.health);
          break;
        case 'drainNoted':
          this.#log(`${host.name}: ${describeGroup(led.group)} drains for ${effect.member}`);
          break;
        case 'superseded':
          this.#log(`${host.name}: ${describeGroup(led.group)} is superseded at ${effect.member}`);
          break;
        case 'confirmed':
          break;
      }
    }
  }

  #sendQuestion(
    host: SimulatedHost,
    { member, question }: Extract<LeaseLeadEffect, { type: 'ask' }>,
  ): void {
    const asked = this.#find(member.host);
    if (asked.state !== 'running' || !this.#isLinked(host.name, asked.name)) {
      return;
    }
    this.#messages.push(() => {
      const now = this.#readClock(asked);
      this.#sendAnswers(asked.member.handle({ type: 'asked', now, question }), asked);
    });
  }

  #sendAnswers(
    effects: readonly { readonly to: string; readonly answer: LeaseAnswer }[],
    from: SimulatedHost,
  ): void {
    for (const { to, answer } of effects) {
      const host = this.#find(to);
      const led = host.leads.get(answer.fencingNumber);
      if (led !== undefined && host.state === 'running' && this.#isLinked(host.name, from.name)) {
        const event = { type: 'answered', now: this.#readClock(host), answer } as const;
        this.#messages.push(() => {
          this.#applyLeadEffects(host, led, led.lead.handle(event));
        });
      }
    }
  }

  #deliver(): void {
    for (
      let message = this.#messages.shift();
      message !== undefined;
      message = this.#messages.shift()
    ) {
      message();
    }
  }

  #logHealth(host: SimulatedHost, led: LedGroup, health: GroupHealth): void {
    const wasServing = led.health?.isServing ?? false;
    const wasDrained = led.health?.isDrained ?? false;
    led.health = health;
    if (health.isServing !== wasServing) {
      const state = health.isServing
        ? 'serves'
        : `no longer serves, missing ${health.missing.join(' ') || 'none'}`;
      this.#log(`${host.name}: ${describeGroup(led.group)} ${state}`);
    }
    if (host.state === 'running' && this.#isLinked(host.name, 'control')) {
      this.#report(host);
    }
    if (health.isDrained && !wasDrained) {
      this.#log(`${host.name}: ${describeGroup(led.group)} is drained`);
    }
  }

  #stop(name: string): void {
    const host = this.#find(name);
    host.state = 'down';
    host.leads.clear();
  }

  #isLinked(one: string, other: string): boolean {
    return !this.#cutLinks.has(createLinkKey(one, other));
  }

  #readClock(host: SimulatedHost): number {
    return this.#now * host.clockRate;
  }

  #find(name: string): SimulatedHost {
    const host = this.#hosts.get(name);
    if (host === undefined) {
      throw new Error(`no host ${name}`);
    }
    return host;
  }

  #log(line: string): void {
    this.#lines.push(`${(this.#now / 1000).toFixed(2).padStart(7)}  ${line}`);
  }
}

function createLinkKey(one: string, other: string): string {
  return [one, other].sort().join(' ');
}
